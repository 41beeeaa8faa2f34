package plumlever.store;

import plumlever.settings.PlatformConfiguration;

/**
 * This controller's share of the state service's rate limits, which all controllers share. There is
 * one limit for requests and one for puts and deletes.
 */
final class RequestBudget {
  /**
   * The fraction of each rate limit of the state service that one controller may use; a leader may
   * use a larger fraction of the write limit.
   */
  private static final double SHARE = 0.5;

  /**
   * The fraction of the state service's write limit that the leader may use. The leader writes
   * most: ends of jobs, records of jobs and machines, and progress.
   */
  private static final double LEADER_WRITE_SHARE = 0.7;

  private final double writesPerSecond;
  private final TokenBucket requests;
  private final TokenBucket writes;

  RequestBudget(PlatformConfiguration.StateLimits limits, long nowMicros) {
    this.writesPerSecond = limits.writeRps();
    this.requests = new TokenBucket(limits.rps() * SHARE, nowMicros);
    this.writes = new TokenBucket(writesPerSecond * SHARE, nowMicros);
  }

  /**
   * Sets whether this controller leads; a leader may use a larger fraction of the state service's
   * write limit.
   */
  void setLeading(boolean leading, long nowMicros) {
    writes.setRate(writesPerSecond * (leading ? LEADER_WRITE_SHARE : SHARE), nowMicros);
  }

  /**
   * Returns true if this controller's share of the rate limits allows the request now, and then
   * counts the request against that share. Urgent requests are always allowed.
   *
   * @param operations the number of puts and deletes in the request
   */
  boolean tryAdmit(StateClient.RequestPriority priority, int operations, long nowMicros) {
    if (priority == StateClient.RequestPriority.URGENT) {
      requests.acquireOnCredit(1, nowMicros);
      writes.acquireOnCredit(operations, nowMicros);
      return true;
    }
    return requests.tryAcquire(1, nowMicros)
        && (operations == 0 || writes.tryAcquire(operations, nowMicros));
  }
}
