/** Unit tests of the cloud client, without I/O. */
package plumlever.cloud;
