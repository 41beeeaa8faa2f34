package plumlever.lease;

/**
 * What a time counted on one clock may be on another's. Each clock may be off by 0.05%; this allows
 * for twice the sum of two of them.
 */
public final class ClockDrift {
  private static final double PART = 0.002;

  private ClockDrift() {}

  /** The least that may have passed elsewhere when this time has passed here. */
  public static long shortestMicros(long micros) {
    return (long) (micros * (1 - PART));
  }

  /** The most that may have to pass here until this time has passed elsewhere. */
  public static long longestMicros(long micros) {
    return (long) (micros * (1 + PART));
  }
}
