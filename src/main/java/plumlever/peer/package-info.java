/**
 * The status that controllers report to each other, encoded with Kryo and sent over HTTP. This
 * package owns the message format, which earlier versions also read and write.
 *
 * <p>The status is advisory: correctness must not depend on it alone. This package must not depend
 * on leadership.
 */
package plumlever.peer;
