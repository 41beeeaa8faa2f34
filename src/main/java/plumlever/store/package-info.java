/**
 * The state service: its client, transactions within its limits, the layout of all records, and a
 * cache of job states.
 *
 * <p>This package owns the protocol of the state service ({@code StateProtocol}), the keys, and the
 * stored formats of jobs and their progress. It must not depend on leadership: the preconditions
 * that callers add to a transaction decide who may write.
 */
package plumlever.store;
