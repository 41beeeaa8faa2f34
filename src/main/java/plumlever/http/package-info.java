/**
 * HTTP server, outgoing HTTP client, and the handlers for requests of users, workers and
 * controllers of other shards.
 *
 * <p>Responses are based on the state service and on the leader, which is looked up for each
 * request. This package must not keep state on which decisions are based and must not depend on how
 * the leader makes decisions. Except for a job's final state, no response may be based on a read
 * that was sent before the request arrived.
 */
package plumlever.http;
