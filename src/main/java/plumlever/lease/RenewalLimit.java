package plumlever.lease;

import plumlever.settings.PlatformConfiguration;

/**
 * Limits how long a controller may renew a lease without knowledge of the latest cancellations
 * (rule 49 of `docs/design.md`). A task can run for one lease duration after the answered heartbeat
 * was sent. If the machine has tasks, the lease is therefore renewed only while this period ends
 * within the cancellation limit of a job whose cancellation was confirmed right after the last
 * answered read of ended jobs was <em>sent</em>. The leader's right to act usually ends earlier.
 * The limit does not depend on that right, so that a change that extends the right cannot extend
 * the run time of cancelled tasks.
 */
public final class RenewalLimit {
  /**
   * One read of ended jobs allows the renewal of leases for some time; this many reads fit into
   * that time, so that no lease expires because one read was lost or slow.
   */
  private static final int READS_PER_LIMIT = 6;

  private static final long MIN_WATCH_MICROS = 250_000;
  private static final long MAX_WATCH_MICROS = 10_000_000;

  private final long maxReadAgeMicros;

  /**
   * Computes the maximum age of the last read of ended jobs from the lease duration and the time
   * within which cancelled tasks must end.
   */
  public RenewalLimit(PlatformConfiguration.Workers workers) {
    this.maxReadAgeMicros =
        ClockDrift.minElapsedMicros(workers.cancelMicros())
            - new LeaseExpiryBound(workers).maxRemainingMicros();
  }

  /**
   * Returns whether a heartbeat received by {@code nowMicros} may be answered with status 200,
   * which renews the lease, although its machine has tasks.
   *
   * @param endedJobsReadMicros time at which the last answered read of ended jobs was sent
   */
  public boolean mayRenew(long nowMicros, long endedJobsReadMicros) {
    return nowMicros - endedJobsReadMicros <= maxReadAgeMicros;
  }

  /**
   * Returns how long a watch of ended jobs may stay open. A watch that has not been answered yet
   * does not show which jobs have ended.
   */
  public long watchTimeoutMicros() {
    return Math.max(
        MIN_WATCH_MICROS, Math.min(MAX_WATCH_MICROS, maxReadAgeMicros / READS_PER_LIMIT));
  }
}
