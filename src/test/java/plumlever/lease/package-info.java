/** Tests of the evidence on which leases are renewed. */
package plumlever.lease;
