/**
 * Counters, histograms of durations, and the summary line that is logged once a minute.
 *
 * <p>It depends on no other package and must not know what the counters mean.
 */
package plumlever.metrics;
