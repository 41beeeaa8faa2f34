package plumlever.lease;

import plumlever.settings.PlatformConfiguration;

/**
 * How long a lease may still be renewed by a controller that may not know of the latest
 * cancellations (rule 49 of `docs/design.md`). A task lives for a lease from when the answered
 * heartbeat was sent, so with tasks on the machine the answer is given only while that ends in time
 * for a cancellation confirmed right after the last read of ended jobs was <em>sent</em>. The right
 * to act mostly ends sooner; this stands by itself, so that nothing that lengthens the right
 * lengthens the life of cancelled tasks.
 */
public final class RenewalLimit {
  /**
   * Added to a lease before it surely has expired: an answer on its way, a late timer of the
   * worker.
   */
  private static final long EXPIRY_MARGIN_MICROS = 1_500_000;

  /**
   * Ended jobs are read this many times as often as needed, so that one read that is lost or slow
   * costs no lease.
   */
  private static final int READS_PER_LIMIT = 6;

  private static final long MIN_WATCH_MICROS = 250_000;
  private static final long MAX_WATCH_MICROS = 10_000_000;

  private final long maxAgeMicros;

  /** The limit that follows from these lease and cancellation times. */
  public RenewalLimit(PlatformConfiguration.Workers workers) {
    this.maxAgeMicros =
        ClockDrift.shortestMicros(workers.cancelMicros())
            - ClockDrift.longestMicros(workers.leaseMicros())
            - EXPIRY_MARGIN_MICROS;
  }

  /**
   * True while a heartbeat that came in by {@code nowMicros} may be answered with 200 although its
   * machine has tasks.
   *
   * @param endsKnownMicros when the last read of ended jobs that was answered had been sent
   */
  public boolean mayRenew(long nowMicros, long endsKnownMicros) {
    return nowMicros - endsKnownMicros <= maxAgeMicros;
  }

  /**
   * How long a watch of ended jobs may be left open: one that is not answered yet tells nothing.
   */
  public long watchMicros() {
    return Math.max(MIN_WATCH_MICROS, Math.min(MAX_WATCH_MICROS, maxAgeMicros / READS_PER_LIMIT));
  }
}
