package plumlever.lease;

/**
 * Bounds how long a period measured on one clock may be on another clock. Each clock may be off by
 * 0.05%. The bounds allow for 0.2%, twice the sum of the errors of two clocks.
 */
public final class ClockDrift {
  private static final double DRIFT_ALLOWANCE = 0.002;

  private ClockDrift() {}

  /**
   * Returns the minimum time that has passed on another clock when the given time has passed on
   * this clock.
   */
  public static long minElapsedMicros(long micros) {
    return (long) (micros * (1 - DRIFT_ALLOWANCE));
  }

  /**
   * Returns the maximum time that can pass on this clock while the given time passes on another
   * clock.
   */
  public static long maxElapsedMicros(long micros) {
    return (long) (micros * (1 + DRIFT_ALLOWANCE));
  }
}
