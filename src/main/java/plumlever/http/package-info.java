/**
 * HTTP in both directions: the server, the outgoing client, and the answers to users, workers and
 * other shards' controllers.
 *
 * <p>Answers come from the state service and from the leader, which it is handed for each request;
 * it must keep no decision state, and must not know how the leader decides. No answer but a job's
 * final state may rest on a read that began before its request came in.
 */
package plumlever.http;
