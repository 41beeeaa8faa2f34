/**
 * Evaluates workers' heartbeats and answers them.
 *
 * <p>Owns what a heartbeat proves about attempts and machines, the commands that every answer
 * carries, the decision whether an answer renews the worker's lease, and the delegation of renewal
 * to other controllers. It must not know placement: it only notes that something changed on which
 * placement depends.
 */
package plumlever.leader.heartbeat;
