package plumlever.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;

/**
 * Counters and histograms, logged as one summary line a minute. Safe for use by several threads:
 * the loop and that of leader election.
 */
public final class Metrics {
  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final double MEDIAN = 50;
  private static final double PERCENTILE_99 = 99;
  private static final double MICROS_PER_MS = 1e3;
  private static final long MAX_DURATION_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** The status of a call without an answer. */
  private static final int NO_ANSWER = 0;

  /** What one kind of work has taken since the last summary. */
  private static final class WorkTotal {
    private long micros;
    private long runs;
  }

  private final Logger log;
  private final Map<String, Long> counters = new TreeMap<>();
  private final Map<String, Histogram> durations = new TreeMap<>();
  private final Map<String, WorkTotal> work = new TreeMap<>();
  private final Map<String, LongSupplier> gauges = new TreeMap<>();

  /** Metrics without any counts. */
  public Metrics(Logs logs) {
    this.log = logs.of(Metrics.class);
  }

  /** Adds one to the counter. */
  public synchronized void count(String name) {
    counters.merge(name, 1L, Long::sum);
  }

  /** Adds to the counter. */
  public synchronized void count(String name, long count) {
    counters.merge(name, count, Long::sum);
  }

  /** The counter's value since the start; 0 for one that was never counted. */
  public synchronized long counter(String name) {
    return counters.getOrDefault(name, 0L);
  }

  /** Records how long one operation took, in a histogram. */
  public synchronized void recordDuration(String name, long micros) {
    durations
        .computeIfAbsent(name, key -> new Histogram(1, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS))
        .recordValue(Math.max(1, Math.min(MAX_DURATION_MICROS, micros)));
  }

  /**
   * Adds one run to a kind of work.
   *
   * @param micros by the clock, since with a small share of a processor that is what others wait
   */
  public synchronized void recordWork(String name, long micros) {
    WorkTotal total = work.computeIfAbsent(name, key -> new WorkTotal());
    total.micros += micros;
    total.runs++;
  }

  /** Registers a level that is read for each summary. */
  public synchronized void gauge(String name, LongSupplier level) {
    gauges.put(name, level);
  }

  /**
   * Counts an answer of another service if it shows that the service is over its rate, refuses or
   * is out of reach.
   *
   * @param status of the answer, 0 for none
   */
  public synchronized void countRefusal(String service, int status) {
    if (status == NO_ANSWER) {
      count(service + "_silent");
    } else if (status == HTTP_TOO_MANY_REQUESTS) {
      count(service + "_over_rate");
    } else if (status == HTTP_UNAVAILABLE) {
      count(service + "_refused");
    }
  }

  /**
   * Logs gauges, counters, and the durations and work since the last summary, as one line. Logs
   * nothing as long as nothing was counted.
   */
  public synchronized void logSummary() {
    if (!log.isInfoEnabled() || (counters.isEmpty() && durations.isEmpty())) {
      return;
    }
    StringBuilder line = new StringBuilder("summary");
    gauges.forEach(
        (name, level) -> line.append(' ').append(name).append('=').append(level.getAsLong()));
    counters.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
    durations.forEach((name, histogram) -> line.append(format(name, histogram)));
    if (!work.isEmpty()) {
      line.append(" spent_ms[");
      work.forEach((name, total) -> line.append(format(name, total)));
      line.setCharAt(line.length() - 1, ']');
    }
    log.info("{}", line);
    work.clear();
    durations.values().forEach(Histogram::reset);
  }

  private static String format(String name, Histogram histogram) {
    return String.format(
        " %s_ms[n=%d p50=%.1f p99=%.1f max=%.1f]",
        name,
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(MEDIAN) / MICROS_PER_MS,
        histogram.getValueAtPercentile(PERCENTILE_99) / MICROS_PER_MS,
        histogram.getMaxValue() / MICROS_PER_MS);
  }

  private static String format(String name, WorkTotal total) {
    return String.format("%s=%.0f/%d ", name, total.micros / MICROS_PER_MS, total.runs);
  }
}
