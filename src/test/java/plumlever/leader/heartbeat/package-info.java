/** Tests of the leader's heartbeat handling, without I/O and with a manually set clock. */
package plumlever.leader.heartbeat;
