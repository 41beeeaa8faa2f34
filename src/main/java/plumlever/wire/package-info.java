/**
 * The messages of the protocols with users, workers, the cloud and other controllers, as records
 * with strict parsers and with writers. This package maps the names used in the source code to the
 * names in messages: {@link plumlever.wire.ProtocolField}, {@link plumlever.wire.ProtocolPath}, and
 * the wire names of the enums.
 *
 * <p>This package depends on no other package and does no I/O, so that clients can use it. It must
 * not depend on the code that handles the messages.
 */
package plumlever.wire;
