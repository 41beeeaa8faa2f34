package plumlever.metrics;

import org.slf4j.Logger;

/**
 * Limits the number of debug lines of one kind that are logged per second, so that the log stays
 * readable when the same event occurs on thousands of machines at once. The number of suppressed
 * lines is logged.
 */
public final class LogRateLimiter {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * A time earlier than any that the clock returns. It is half of the smallest {@code long}, so
   * that subtracting it from a time does not overflow.
   */
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final int linesPerSecond;
  private long secondStartMicros = DISTANT_PAST_MICROS;
  private int lines;
  private long suppressed;

  /** Creates a rate limiter for debug lines that are logged with this logger. */
  public LogRateLimiter(Logger log, int linesPerSecond) {
    this.log = log;
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Returns true if a debug line may be logged now; counts the line against the limit in this case.
   */
  public boolean tryAcquireDebugLine(long nowMicros) {
    if (!log.isDebugEnabled()) {
      return false;
    }
    if (nowMicros - secondStartMicros >= SECOND_MICROS) {
      if (suppressed > 0) {
        log.debug("suppressed {} further lines of this kind", suppressed);
      }
      secondStartMicros = nowMicros;
      lines = 0;
      suppressed = 0;
    }
    if (lines >= linesPerSecond) {
      suppressed++;
      return false;
    }
    lines++;
    return true;
  }
}
