/** Tests of the components of leader election; they do no I/O. */
package plumlever.election;
