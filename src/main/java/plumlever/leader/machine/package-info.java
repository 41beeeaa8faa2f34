/**
 * Manages the machines of the fleet: the stored record of machines that may hold tasks, rental and
 * return, lease expiry, and the distinction between dead and unreachable machines.
 *
 * <p>Starts and places no tasks: the scheduling pass determines which capacity is missing and which
 * machines are not needed.
 */
package plumlever.leader.machine;
