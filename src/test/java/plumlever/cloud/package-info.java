/** Tests of the package of the same name, without I/O beyond loopback. */
package plumlever.cloud;
