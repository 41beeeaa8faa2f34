/**
 * What controllers tell each other, by Kryo over HTTP.
 *
 * <p>Advice only: nothing that the rules need may rest on it alone.
 */
package plumlever.peer;
