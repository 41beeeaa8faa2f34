/**
 * Counters, time histograms, and the summary line that is logged once a minute.
 *
 * <p>Depends on no other package.
 */
package plumlever.metrics;
