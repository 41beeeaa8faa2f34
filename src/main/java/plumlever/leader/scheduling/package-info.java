/**
 * Which task goes to which machine: the order of jobs, their placement, preemption, and the
 * commands that start tasks.
 *
 * <p>It owns the plan of the current pass, the demand for rentals that follows from it, and the
 * rules that hold when a start is sent. It must not rent or return machines, store records, or know
 * how machines are shared with other shards; it answers questions about these instead.
 */
package plumlever.leader.scheduling;
