/**
 * The jobs that have not ended: kept up with the state service, resolved by their dependencies, and
 * indexed once a task may have started. It knows nothing of machines.
 */
package plumlever.leader.job;
