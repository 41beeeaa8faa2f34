/**
 * What to rent for work that waits, and how much room stands by.
 *
 * <p>Pure: no I/O and no clock.
 */
package plumlever.scaling;
