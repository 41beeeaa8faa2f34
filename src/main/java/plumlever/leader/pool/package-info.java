/**
 * Sharing machines between the shards of a pool: ownership, transfers, tasks of other shards, and
 * shares of limits. The ordinary path of a leader does not know this package.
 */
package plumlever.leader.pool;
