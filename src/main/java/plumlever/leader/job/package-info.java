/**
 * The jobs that have not ended.
 *
 * <p>Owns the view of the stored job records, the resolution of dependencies, the index of jobs of
 * which a task may have started, and the clean-up of stored dependency lists. It must not know
 * machines, nor where tasks run.
 */
package plumlever.leader.job;
