/**
 * One term of the leader: puts its parts together, starts and ends them, decides when scheduling
 * passes run and when tokens are raised, and takes heartbeats through the checks to their answer.
 *
 * <p>What a part decides is known in its own package below, not here; whether machines are shared
 * with other shards is known here only as {@code MachineSharing}.
 */
package plumlever.leader;
