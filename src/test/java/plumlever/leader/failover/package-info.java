/** Tests of the state that a new leader takes over from earlier leaders. No I/O. */
package plumlever.leader.failover;
