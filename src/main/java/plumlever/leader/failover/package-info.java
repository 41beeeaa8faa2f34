/**
 * What a new leader takes over from earlier ones: which machines may still run tasks that it did
 * not start, and the estimates and image caches that they knew. It starts nothing.
 */
package plumlever.leader.failover;
