/**
 * Under which proof a worker's lease is renewed.
 *
 * <p>Owns the decision: every answer that renews a lease is built by {@link
 * plumlever.lease.LeaseRenewal} from typed evidence, and the reasons of refusals. Owns the stored
 * form of a delegation as well. Must not know who gathers the evidence, nor how: no I/O, no clock,
 * no jobs.
 */
package plumlever.lease;
