/**
 * The event loop, recurring tasks on it, and scopes that cancel them in reverse order.
 *
 * <p>Depends on no other package.
 */
package plumlever.concurrent;
