/** Tests of how the packages depend on each other. */
package plumlever.architecture;
