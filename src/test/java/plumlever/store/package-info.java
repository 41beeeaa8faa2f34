/**
 * Tests of the rate and write limits of the state service client and of the record layout; they do
 * no I/O.
 */
package plumlever.store;
