package plumlever.metrics;

import org.slf4j.Logger;

/**
 * Bounds how many lines a second of one kind are logged, so that thousands of machines that do the
 * same at once leave the log readable. What is left out is counted and told.
 */
public final class LogBudget {
  private static final long SECOND_MICROS = 1_000_000;

  private final Logger log;
  private final int linesPerSecond;
  private long secondStartMicros = Long.MIN_VALUE / 2;
  private int lines;
  private long suppressed;

  /** Lines of this logger. */
  public LogBudget(Logger log, int linesPerSecond) {
    this.log = log;
    this.linesPerSecond = linesPerSecond;
  }

  /** True if one more debug line may be logged now. */
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
