/**
 * Decides whether a worker's lease is renewed, depending on what the controller knows about the
 * machine's tasks and about ended jobs.
 *
 * <p>Responsible for the decision, for the reasons of refusals and for the stored form of a
 * delegation. {@link plumlever.lease.LeaseRenewal} builds every response that renews a lease, from
 * typed evidence. The package must not depend on how the evidence is gathered: it does no I/O,
 * reads no clock and does not know jobs.
 */
package plumlever.lease;
