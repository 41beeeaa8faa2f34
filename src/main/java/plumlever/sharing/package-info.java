/**
 * How the machines of a pool are shared among shards: the records of owners and transfers, what
 * they say together, and the policies that decide which machines and parts of team limits move.
 *
 * <p>Knows neither clock nor network: everything is a function of records and of what shards tell
 * of themselves.
 */
package plumlever.sharing;
