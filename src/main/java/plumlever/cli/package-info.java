/**
 * The command line: arguments, logging setup, and the process with its sockets and threads.
 *
 * <p>This package defines the exit codes and the printed output. No other package may depend on
 * this package, and this package must not depend on the controller's scheduling decisions.
 */
package plumlever.cli;
