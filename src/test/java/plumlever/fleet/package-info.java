/**
 * Unit tests of the jobs, attempts, machines and dependency graph of the fleet package, without
 * I/O.
 */
package plumlever.fleet;
