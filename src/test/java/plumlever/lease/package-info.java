/** Tests of the proofs under which leases are renewed. */
package plumlever.lease;
