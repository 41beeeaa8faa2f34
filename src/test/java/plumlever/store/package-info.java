/** Tests of the package of the same name; they use no I/O other than loopback. */
package plumlever.store;
