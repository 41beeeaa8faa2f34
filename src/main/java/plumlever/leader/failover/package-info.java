/**
 * What a new leader takes over from earlier ones.
 *
 * <p>Owns which machines may still run tasks that this leader did not start, what they count
 * against teams' limits, and the stored estimates and image caches. It starts nothing, and must not
 * know how machines are called or heartbeats evaluated.
 */
package plumlever.leader.failover;
