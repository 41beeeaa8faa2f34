/**
 * Sharing of machines and team limits between the shards of a pool: ownership records, transfers,
 * foreign tasks, and each shard's part of the limits. The rest of the leader depends only on {@link
 * plumlever.leader.context.MachineSharing}, not on this package.
 */
package plumlever.leader.pool;
