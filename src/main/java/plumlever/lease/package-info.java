/**
 * Under which proof a worker's lease is renewed. Every answer that renews one is built by {@link
 * plumlever.lease.LeaseRenewal} from typed evidence; who gathers it, and how, is not known here.
 */
package plumlever.lease;
