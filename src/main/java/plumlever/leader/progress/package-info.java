/**
 * Stores finished tasks and the final states of jobs.
 *
 * <p>Owns the progress records and the transaction that stores a job as done. Must not depend on
 * where tasks run or on who reported them.
 */
package plumlever.leader.progress;
