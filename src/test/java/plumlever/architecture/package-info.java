/** Tests of package dependencies, of the words used in the code, and of names in the documents. */
package plumlever.architecture;
