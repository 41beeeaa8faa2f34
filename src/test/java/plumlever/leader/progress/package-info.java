/** Tests of the leader's records of task progress, without I/O. */
package plumlever.leader.progress;
