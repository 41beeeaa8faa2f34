/**
 * Scaling: which machines to rent for pending tasks, and how much capacity headroom to keep.
 *
 * <p>This package has no I/O and reads no clock. It depends on prices, machine types and job
 * specifications. It must not depend on running machines, on teams or on how rentals are requested.
 */
package plumlever.scaling;
