package plumlever.store;

import plumlever.settings.PlatformConfiguration;

/**
 * This controller's part of the state service's limits, which all controllers share: of requests,
 * and of puts and deletes.
 */
final class RequestBudget {
  private static final double PART = 0.5;

  /** Of writes the leader needs most: ends of jobs, records of jobs and machines, progress. */
  private static final double LEADER_WRITES_PART = 0.7;

  private final double writesPerSecond;
  private final TokenBucket requests;
  private final TokenBucket writes;

  RequestBudget(PlatformConfiguration.StateLimits limits, long nowMicros) {
    this.writesPerSecond = limits.writeRps();
    this.requests = new TokenBucket(limits.rps() * PART, nowMicros);
    this.writes = new TokenBucket(writesPerSecond * PART, nowMicros);
  }

  /** This controller leads from now on, or does no more. */
  void setLeading(boolean leading, long nowMicros) {
    writes.setRate(writesPerSecond * (leading ? LEADER_WRITES_PART : PART), nowMicros);
  }

  /**
   * True if a request may be sent now; it is charged for then.
   *
   * @param operations how many puts and deletes it holds
   */
  boolean admits(StateClient.RequestPriority priority, int operations, long nowMicros) {
    if (priority == StateClient.RequestPriority.URGENT) {
      requests.acquireOnCredit(1, nowMicros);
      writes.acquireOnCredit(operations, nowMicros);
      return true;
    }
    return requests.tryAcquire(1, nowMicros)
        && (operations == 0 || writes.tryAcquire(operations, nowMicros));
  }
}
