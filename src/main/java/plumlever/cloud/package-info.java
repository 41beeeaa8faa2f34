/**
 * The cloud's client, and the machine types with their current prices.
 *
 * <p>It keeps the cloud's rate limit and decides nothing about what to rent or return. It must not
 * know who leads.
 */
package plumlever.cloud;
