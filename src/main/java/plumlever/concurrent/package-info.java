/**
 * The event loop, recurring tasks on it, and scopes that close what they own.
 *
 * <p>It depends on no other package and must not know what runs on the loop.
 */
package plumlever.concurrent;
