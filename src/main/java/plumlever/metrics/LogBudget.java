package plumlever.metrics;

import org.slf4j.Logger;

/**
 * Bounds how many debug lines of one kind are logged in a second, so that the log stays readable
 * when thousands of machines do the same at once. How many lines were left out is logged.
 */
public final class LogBudget {
  private static final long SECOND_MICROS = 1_000_000;

  /** Before any time, also when it is subtracted from one. */
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final int linesPerSecond;
  private long secondStartMicros = DISTANT_PAST_MICROS;
  private int lines;
  private long suppressed;

  /** A budget for debug lines of this logger. */
  public LogBudget(Logger log, int linesPerSecond) {
    this.log = log;
    this.linesPerSecond = linesPerSecond;
  }

  /** True if a debug line may be logged now; each such answer uses up one line of the budget. */
  public boolean allowsDebug(long nowMicros) {
    if (!log.isDebugEnabled()) {
      return false;
    }
    if (nowMicros - secondStartMicros >= SECOND_MICROS) {
      if (suppressed > 0) {
        log.debug("{} further lines of this kind were left out", suppressed);
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
