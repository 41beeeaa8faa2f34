/**
 * Tracks the jobs that have not ended.
 *
 * <p>Owns the view of the stored job records, the resolution of dependencies, the index of jobs
 * whose tasks may have started, and the clean-up of stored dependency lists. Must not depend on
 * machines or on the placement of tasks.
 */
package plumlever.leader.job;
