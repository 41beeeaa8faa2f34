/** Tests of the decisions of a scheduling pass. No I/O. */
package plumlever.leader.scheduling;
