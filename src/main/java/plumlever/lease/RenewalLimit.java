package plumlever.lease;

import plumlever.settings.PlatformConfiguration;

/**
 * How long a lease may still be renewed by one who may not know of the latest cancellations (safety
 * notes, 49). A task lives for a lease from when the answered heartbeat was sent, so with tasks on
 * the machine the answer is given only while that ends in time for a cancellation confirmed right
 * after the last read of ended jobs was <em>sent</em>. The right to act mostly ends sooner; this
 * stands by itself, so that nothing that lengthens the right lengthens the life of cancelled tasks.
 */
public final class RenewalLimit {
  /**
   * Added to a lease before it surely has lapsed: an answer on its way, a late timer of the worker.
   */
  private static final long MARGIN_MICROS = 1_500_000;

  /** Both clocks may be off by 0.05%; this allows for twice the sum. */
  private static final double DRIFT = 0.002;

  /**
   * Reads of ended jobs come this many times as often as needed, so that one that is lost or slow
   * costs no lease.
   */
  private static final int READS = 6;

  private static final long READ_LEAST_MICROS = 250_000;
  private static final long READ_MOST_MICROS = 10_000_000;

  private final long slackMicros;

  /** The bound that follows from these lease and cancellation times. */
  public RenewalLimit(PlatformConfiguration.Workers workers) {
    this.slackMicros =
        (long) (workers.cancelMicros() * (1 - DRIFT))
            - (long) (workers.leaseMicros() * (1 + DRIFT))
            - MARGIN_MICROS;
  }

  /**
   * True while a heartbeat that came in by {@code nowMicros} may be answered with 200 although its
   * machine has tasks.
   *
   * @param knownMicros when the last read of ended jobs that was heard had been sent
   */
  public boolean mayRenew(long nowMicros, long knownMicros) {
    return nowMicros - knownMicros <= slackMicros;
  }

  /**
   * How long a watch of ended jobs may be left open: one that is not answered yet tells nothing.
   */
  public long watchMicros() {
    return Math.max(READ_LEAST_MICROS, Math.min(READ_MOST_MICROS, slackMicros / READS));
  }
}
