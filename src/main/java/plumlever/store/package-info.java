/**
 * The state service: its client, transactions within its limits, the layout of all records, and
 * what is known of jobs from reading them.
 *
 * <p>Owns the state service's protocol ({@code StateProtocol}), the keys and the stored forms of
 * jobs and their progress. Must not know of leadership: who may write is decided by the
 * preconditions that callers add.
 */
package plumlever.store;
