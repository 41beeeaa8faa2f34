/** Storing finished tasks and the ends of jobs. It does not know where tasks run. */
package plumlever.leader.progress;
