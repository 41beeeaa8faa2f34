/** Tests of the main package of the same name, without I/O and with a manually set clock. */
package plumlever.leader.heartbeat;
