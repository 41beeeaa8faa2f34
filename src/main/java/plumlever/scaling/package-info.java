/**
 * What to rent for work that waits, and how much capacity headroom to keep.
 *
 * <p>Pure: no I/O and no clock. It knows prices, machine types and what jobs ask for; it must not
 * know machines that are up, teams, or how rentals are requested.
 */
package plumlever.scaling;
