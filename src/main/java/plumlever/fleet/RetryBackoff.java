package plumlever.fleet;

/**
 * Exponential backoff before the next attempt of a job after errors. A job that is submitted with a
 * mistake fails on every machine; the backoff keeps the job from occupying the fleet until its user
 * cancels it.
 */
final class RetryBackoff {
  /** Number of consecutive errors up to which the retry delay stays at its initial value. */
  private static final int ERRORS_WITH_INITIAL_DELAY = 2;

  private static final int MAX_DOUBLINGS = 6;
  private static final int MAX_COUNTED_ERRORS = ERRORS_WITH_INITIAL_DELAY + MAX_DOUBLINGS;
  private static final long INITIAL_DELAY_MICROS = 1_000_000;
  private static final long MAX_DELAY_MICROS = 60_000_000;

  private int consecutiveErrors;
  private long retryNotBeforeMicros;

  void recordError(long nowMicros) {
    consecutiveErrors = Math.min(consecutiveErrors + 1, MAX_COUNTED_ERRORS);
    int doublings = Math.max(0, consecutiveErrors - ERRORS_WITH_INITIAL_DELAY);
    long delayMicros = Math.min(MAX_DELAY_MICROS, INITIAL_DELAY_MICROS << doublings);
    retryNotBeforeMicros = Math.max(retryNotBeforeMicros, nowMicros + delayMicros);
  }

  void recordSuccess() {
    consecutiveErrors = 0;
    retryNotBeforeMicros = 0;
  }

  /** The earliest time at which the job's next attempt may start; 0 if there is no delay. */
  long retryNotBeforeMicros() {
    return retryNotBeforeMicros;
  }
}
