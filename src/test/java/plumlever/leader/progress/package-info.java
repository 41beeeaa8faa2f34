/** Tests of the package of the same name, without I/O. */
package plumlever.leader.progress;
