/**
 * Tests of the dependencies between packages, of protocol words outside of codecs, and of class and
 * member names in the documents.
 */
package plumlever.architecture;
