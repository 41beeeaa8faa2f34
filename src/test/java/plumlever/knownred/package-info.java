/**
 * Tests that are red for a real fault that is not mended yet. They are listed in {@code
 * KNOWN-RED.txt} at the repository's root; a test run passes over these and no others, and says so.
 */
package plumlever.knownred;
