/**
 * The HTTP server, the outgoing client, and the answers to users and workers.
 *
 * <p>Answers from the state service and from the leader of the day, which it is handed; keeps no
 * decision state.
 */
package plumlever.http;
