/**
 * The leader's picture of jobs, attempts and machines: what may run where, what each team uses, how
 * long tasks take, and which jobs depend on which.
 *
 * <p>Pure state: it must know neither I/O nor clock nor leadership. Whoever changes it passes the
 * time, and proves that an attempt is over before saying so.
 */
package plumlever.fleet;
