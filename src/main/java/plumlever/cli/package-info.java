/**
 * The command line: arguments, logging, and the process with its sockets.
 *
 * <p>Nothing else depends on it.
 */
package plumlever.cli;
