/**
 * The cloud's client and the machine types with their current prices.
 *
 * <p>Decides nothing about what to rent.
 */
package plumlever.cloud;
