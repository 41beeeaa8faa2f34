/** Tests of the package of the same name, without I/O and on a clock set by hand. */
package plumlever.leader.heartbeat;
