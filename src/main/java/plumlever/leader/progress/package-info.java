/**
 * Stores finished tasks and the ends of jobs.
 *
 * <p>Owns the progress records and the transaction that stores a job as done. It must not know
 * where tasks run, nor who reported them.
 */
package plumlever.leader.progress;
