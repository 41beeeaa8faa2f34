/**
 * The machines of the fleet: their stored record, renting and returning them, and telling dead
 * machines from unreachable ones. It starts no tasks.
 */
package plumlever.leader.machine;
