package plumlever.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;

/**
 * Counters, duration histograms, work totals and gauges, logged as one summary line per minute.
 * Thread-safe, because the controller loop and the election loop use the same instance.
 */
public final class Metrics {
  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final double MEDIAN = 50;
  private static final double PERCENTILE_99 = 99;
  private static final double MICROS_PER_MS = 1e3;
  private static final long MAX_DURATION_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** The HTTP status that stands for a call without a response. */
  private static final int NO_RESPONSE = 0;

  /** The time spent on one kind of work and the number of runs since the last summary. */
  private static final class WorkTotal {
    private long micros;
    private long runs;
  }

  private final Logger log;
  private final Map<String, Long> counters = new TreeMap<>();
  private final Map<String, Histogram> durations = new TreeMap<>();
  private final Map<String, WorkTotal> work = new TreeMap<>();
  private final Map<String, LongSupplier> gauges = new TreeMap<>();

  /** Creates empty metrics. */
  public Metrics(LoggerProvider loggerProvider) {
    this.log = loggerProvider.of(Metrics.class);
  }

  /** Increments the counter with this name by one. */
  public synchronized void count(String name) {
    counters.merge(name, 1L, Long::sum);
  }

  /** Increments the counter with this name by the given amount. */
  public synchronized void count(String name, long count) {
    counters.merge(name, count, Long::sum);
  }

  /**
   * Returns the value of the counter with this name since startup; 0 if it was never incremented.
   */
  public synchronized long counter(String name) {
    return counters.getOrDefault(name, 0L);
  }

  /** Adds the duration of one operation to the histogram with this name. */
  public synchronized void recordDuration(String name, long micros) {
    durations
        .computeIfAbsent(name, key -> new Histogram(1, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS))
        .recordValue(Math.max(1, Math.min(MAX_DURATION_MICROS, micros)));
  }

  /**
   * Adds the duration of one run to the total of the kind of work with this name.
   *
   * @param micros the elapsed time by the clock, not the processor time: other work is delayed by
   *     the elapsed time, which is longer on a small share of a processor
   */
  public synchronized void recordWork(String name, long micros) {
    WorkTotal total = work.computeIfAbsent(name, key -> new WorkTotal());
    total.micros += micros;
    total.runs++;
  }

  /** Adds a gauge with this name, whose value is read each time that the metrics are logged. */
  public synchronized void gauge(String name, LongSupplier level) {
    gauges.put(name, level);
  }

  /**
   * Counts a failed call to another service: no response, rate limit exceeded (429) or service
   * unavailable (503). Other statuses are not counted.
   *
   * @param status the HTTP status of the response; 0 if no response arrived
   */
  public synchronized void countFailedCall(String service, int status) {
    if (status == NO_RESPONSE) {
      count(service + "_silent");
    } else if (status == HTTP_TOO_MANY_REQUESTS) {
      count(service + "_over_rate");
    } else if (status == HTTP_UNAVAILABLE) {
      count(service + "_refused");
    }
  }

  /**
   * Logs one line with the current gauges, the counters since startup, and the durations and work
   * totals since the last such line. Logs nothing if no counter and no duration was ever recorded.
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
