package plumlever.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;

/**
 * Counters and histograms, summed up in one log line a minute. Two threads count: the one that
 * decides, and leadership's.
 */
public final class Metrics {
  private static final int HTTP_TOO_MANY_REQUESTS = 429;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final double MEDIAN = 50;
  private static final double TAIL = 99;

  private static final long MOST_MICROS = 3_600_000_000L;

  private final Logger log;
  private final Map<String, Long> counters = new TreeMap<>();
  private final Map<String, Histogram> times = new TreeMap<>();
  private final Map<String, long[]> recordWork = new TreeMap<>();
  private final Map<String, LongSupplier> gauges = new TreeMap<>();

  public Metrics(Logs logs) {
    this.log = logs.of(Metrics.class);
  }

  public synchronized void count(String name) {
    counters.merge(name, 1L, Long::sum);
  }

  public synchronized void count(String name, long count) {
    counters.merge(name, count, Long::sum);
  }

  public synchronized long counter(String name) {
    return counters.getOrDefault(name, 0L);
  }

  /** Records how long one thing took. */
  public synchronized void recordDuration(String name, long micros) {
    times
        .computeIfAbsent(name, k -> new Histogram(1, MOST_MICROS, 2))
        .recordValue(Math.max(1, Math.min(MOST_MICROS, micros)));
  }

  /**
   * Adds to what a kind of work has taken, by the clock: on little processor that is what others
   * wait.
   */
  public synchronized void recordWork(String work, long micros) {
    recordWork.computeIfAbsent(work, k -> new long[2])[0] += micros;
    recordWork.get(work)[1]++;
  }

  /** A level that is looked up for each summary. */
  public synchronized void gauge(String name, LongSupplier level) {
    gauges.put(name, level);
  }

  /** Counts the answers of an outside service that show it to be short, down or out of reach. */
  public synchronized void countRefusal(String service, int status) {
    if (status == 0) {
      count(service + "_silent");
    } else if (status == HTTP_TOO_MANY_REQUESTS) {
      count(service + "_over_rate");
    } else if (status == HTTP_UNAVAILABLE) {
      count(service + "_refused");
    }
  }

  /** Logs all counters and times since the last summary, and begins anew. */
  public synchronized void logSummary() {
    if (!log.isInfoEnabled() || (counters.isEmpty() && times.isEmpty())) {
      return;
    }
    StringBuilder line = new StringBuilder("summary");
    gauges.forEach((k, level) -> line.append(' ').append(k).append('=').append(level.getAsLong()));
    counters.forEach((k, v) -> line.append(' ').append(k).append('=').append(v));
    times.forEach(
        (k, h) ->
            line.append(
                String.format(
                    " %s_ms[n=%d p50=%.1f p99=%.1f max=%.1f]",
                    k,
                    h.getTotalCount(),
                    h.getValueAtPercentile(MEDIAN) / 1e3,
                    h.getValueAtPercentile(TAIL) / 1e3,
                    h.getMaxValue() / 1e3)));
    if (!recordWork.isEmpty()) {
      line.append(" spent_ms[");
      recordWork.forEach((k, v) -> line.append(String.format("%s=%.0f/%d ", k, v[0] / 1e3, v[1])));
      line.setCharAt(line.length() - 1, ']');
      recordWork.clear();
    }
    log.info("{}", line);
    times.values().forEach(Histogram::reset);
  }
}
