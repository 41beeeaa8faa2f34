/**
 * The messages of the protocol as records: read strictly, and written with the names that the
 * protocol gives them. It owns the mapping between the terms of the code and the protocol's words
 * ({@link plumlever.wire.ProtocolField}, {@link plumlever.wire.ProtocolPath}, and the wire names of
 * the enums).
 *
 * <p>It depends on no other package and does no I/O, so clients could use it. It must not know what
 * a message leads to.
 */
package plumlever.wire;
