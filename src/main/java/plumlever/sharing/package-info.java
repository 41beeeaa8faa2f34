/**
 * Data model and policies for sharing machines between the shards of a pool: owner and transfer
 * records, an in-memory view of all records, and the policies that decide which machines are
 * transferred and which cores of team limits are moved.
 *
 * <p>The package uses neither a clock nor the network: all results are functions of the records.
 */
package plumlever.sharing;
