/**
 * Counters, duration histograms, work totals and gauges, and the summary line that is logged once
 * per minute.
 *
 * <p>This package depends on no other package and must not interpret the counters.
 */
package plumlever.metrics;
