package plumlever.lease;

import java.util.OptionalLong;
import plumlever.settings.PlatformConfiguration;

/**
 * Bounds the time at which a worker's lease ends. The lease of a worker's incarnation runs from the
 * beginning of the incarnation and, once a heartbeat of it has been answered, from the sending of
 * the last answered heartbeat. No other class computes such a bound: {@link ExpiryEvidence} names
 * all events from which a lease may run.
 */
public final class LeaseExpiryBound {
  /** Covers a response in flight and a late timer of the worker. */
  private static final long MARGIN_MICROS = 1_500_000;

  private final long maxRemainingMicros;

  /** Creates the bound for the lease duration of these workers. */
  public LeaseExpiryBound(PlatformConfiguration.Workers workers) {
    this.maxRemainingMicros = ClockDrift.maxElapsedMicros(workers.leaseMicros()) + MARGIN_MICROS;
  }

  /**
   * Returns the longest time, in microseconds of this controller's clock, from an event that starts
   * or renews a lease until the lease has ended if no further event renews it.
   */
  public long maxRemainingMicros() {
    return maxRemainingMicros;
  }

  /**
   * Returns the time from which the lease of the present incarnation, and of every earlier one, has
   * certainly ended; empty while another controller may renew it.
   */
  public OptionalLong expiredFromMicros(ExpiryEvidence evidence) {
    return evidence.renewableByOthers()
        ? OptionalLong.empty()
        : OptionalLong.of(evidence.latestStartMicros() + maxRemainingMicros);
  }

  /** Returns whether the lease of the present incarnation has certainly ended. */
  public boolean hasExpired(ExpiryEvidence evidence, long nowMicros) {
    return isReached(expiredFromMicros(evidence), nowMicros);
  }

  /**
   * Returns whether the lease has certainly ended of every incarnation in which another controller,
   * an earlier leader or a former owner of the machine, can have started tasks. A machine whose
   * incarnations follow each other without renewal therefore does not keep those tasks forever.
   */
  public boolean hasExpiredForOthers(ExpiryEvidence evidence, long nowMicros) {
    return !evidence.renewableByOthers()
        && nowMicros >= evidence.latestRenewalMicros() + maxRemainingMicros;
  }

  private static boolean isReached(OptionalLong fromMicros, long nowMicros) {
    return fromMicros.isPresent() && nowMicros >= fromMicros.getAsLong();
  }
}
