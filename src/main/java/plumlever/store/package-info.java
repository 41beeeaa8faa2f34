/**
 * The state service: its client, transactions within its limits, and the layout of all records.
 *
 * <p>Knows nothing of leadership; who may write is decided by the preconditions that callers add.
 */
package plumlever.store;
