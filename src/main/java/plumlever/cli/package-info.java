/**
 * The command line: arguments, logging, and the process with its sockets and threads.
 *
 * <p>It owns the exit codes and what is printed. Nothing else depends on it, and it must not know
 * what a controller decides.
 */
package plumlever.cli;
