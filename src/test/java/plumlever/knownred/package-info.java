/**
 * Support for tests that are known to fail because of a fault that is not fixed yet. The tests are
 * listed in {@code KNOWN-RED.txt} at the root of the repository. A test run reports failures of the
 * listed tests as aborted, prints the listed tests, and reports all other failures as usual.
 */
package plumlever.knownred;
