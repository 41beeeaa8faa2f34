/** Tests of who leads, and for how long. */
package plumlever.election;
