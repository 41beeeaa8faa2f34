package plumlever.lease;

/**
 * What the leader knows about the events from which a machine's lease may run. All times are in
 * microseconds of this controller's monotonic clock; an event that has not happened has a time in
 * the distant past.
 *
 * @param renewableByOthers true while another controller may renew the lease
 * @param renewedByOthersMicros the latest time at which another controller may have renewed the
 *     lease or seen a new incarnation in which it could start tasks
 * @param renewedMicros the time at which this leader last sent a response that renews the lease
 * @param incarnationSeenMicros the time at which this leader learned of the worker's present
 *     incarnation, from whatever message. The incarnation, and with it a lease that no controller
 *     has renewed, began before that time.
 */
public record ExpiryEvidence(
    boolean renewableByOthers,
    long renewedByOthersMicros,
    long renewedMicros,
    long incarnationSeenMicros) {

  /** Returns the latest time from which the lease of the present incarnation may run. */
  long latestStartMicros() {
    return Math.max(latestRenewalMicros(), incarnationSeenMicros);
  }

  /**
   * Returns the latest time from which the lease of an incarnation may run that began before other
   * controllers lost the right to start tasks on the machine. A later incarnation holds no tasks of
   * theirs: a command names the incarnation that its sender has seen.
   */
  long latestRenewalMicros() {
    return Math.max(renewedByOthersMicros, renewedMicros);
  }
}
