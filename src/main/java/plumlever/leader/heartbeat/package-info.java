/**
 * Evaluates workers' heartbeats and answers them.
 *
 * <p>Responsible for deriving the state of attempts and machines from heartbeats, for the commands
 * that every response carries, for deciding whether a response renews the worker's lease, and for
 * delegating lease renewal to other controllers. The package must not depend on placement: it only
 * records that an input of placement has changed.
 */
package plumlever.leader.heartbeat;
