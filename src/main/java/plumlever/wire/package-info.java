/**
 * Messages of the protocol as records, read strictly and written as the protocol names them.
 *
 * <p>Depends on no other package and does no I/O, so clients could use it.
 */
package plumlever.wire;
