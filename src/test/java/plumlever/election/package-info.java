/** Tests of leader election and of the duration of terms. */
package plumlever.election;
