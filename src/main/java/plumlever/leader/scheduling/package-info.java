/**
 * Which task goes to which machine: the order of jobs, their placement, preemption, and the
 * commands that start tasks. It rents no machines and stores no records.
 */
package plumlever.leader.scheduling;
