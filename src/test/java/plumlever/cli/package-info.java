/** Tests of the command line; they do no I/O. */
package plumlever.cli;
