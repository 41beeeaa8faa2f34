/**
 * The machines of the fleet: the stored record of those that may hold tasks, renting and returning
 * them, expired leases, and telling dead machines from unreachable ones.
 *
 * <p>It starts no tasks and places none: it asks the scheduling pass what is lacking and which
 * machines can be spared.
 */
package plumlever.leader.machine;
