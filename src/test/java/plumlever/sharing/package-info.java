/** Tests of the pool's records and of the sharing policies. */
package plumlever.sharing;
