/**
 * Scheduling: job order, placement, preemption and the commands that start tasks.
 *
 * <p>This package owns the plan of the current pass, the rental demand that results from the plan,
 * and the checks when a start command is sent. It must not rent or return machines, store records,
 * or depend on how machines are shared with other shards. The packages that make these decisions
 * query it.
 */
package plumlever.leader.scheduling;
