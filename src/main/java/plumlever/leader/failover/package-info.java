/**
 * What a new leader takes over from earlier leaders.
 *
 * <p>Owns the set of machines that may still run tasks which this leader did not start, their share
 * of the teams' limits, and the stored estimates and image caches. Starts no tasks, and must not
 * depend on how machines are called or how heartbeats are processed.
 */
package plumlever.leader.failover;
