/** Tests of the conditions under which workers' leases are renewed. */
package plumlever.lease;
