/**
 * One term of the leader: failover, reports, scheduling passes, preemption, machines, progress,
 * hints.
 *
 * <p>Nothing of it outlives its term but what is stored. Nobody but the controller makes one.
 */
package plumlever.leader;
