/**
 * The event loop, recurring tasks on the event loop, and scopes that close the resources they own.
 *
 * <p>This package depends on no other package and must not depend on the actions that run on the
 * loop.
 */
package plumlever.concurrent;
