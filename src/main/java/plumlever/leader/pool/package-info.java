/**
 * Sharing machines between the cells of a pool: ownership, transfers, tasks of other cells, and
 * shares of limits. The ordinary path of a leader does not know this package.
 */
package plumlever.leader.pool;
