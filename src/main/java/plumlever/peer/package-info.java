/**
 * What controllers tell each other of themselves, by Kryo over HTTP. It owns the messages' form,
 * which former versions read and write too.
 *
 * <p>Advice only: nothing that the rules need may rest on it alone, and it must not know who leads.
 */
package plumlever.peer;
