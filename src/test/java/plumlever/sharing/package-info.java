/** Tests of the pool's records and policies. */
package plumlever.sharing;
