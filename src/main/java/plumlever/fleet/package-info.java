/**
 * The leader's in-memory model of jobs, attempts and machines: which tasks may run on which
 * machine, the resource usage of each team, run time estimates, and the dependency graph of jobs.
 *
 * <p>This package holds state only. It must not depend on I/O, clocks or leadership. Callers pass
 * in the current time, and must have proof that an attempt has ended before they record the end.
 */
package plumlever.fleet;
