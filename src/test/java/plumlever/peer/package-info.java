/** Tests of the messages between controllers. No I/O. */
package plumlever.peer;
