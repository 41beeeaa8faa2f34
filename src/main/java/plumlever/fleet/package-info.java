/**
 * What is known of jobs, attempts, machines and estimates, and the dependencies between jobs.
 *
 * <p>Pure state: no I/O, no clock, no leadership.
 */
package plumlever.fleet;
