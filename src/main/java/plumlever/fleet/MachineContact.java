package plumlever.fleet;

import plumlever.wire.Heartbeat;

/**
 * The communication state between a machine and this leader: the times of the last messages in both
 * directions, and the worker incarnation.
 *
 * <p>Times are in microseconds of this controller's monotonic clock; -1 means never in this term.
 */
public final class MachineContact {
  /**
   * Number of consecutive lost responses (responses of the leader to heartbeats) after which a
   * machine counts as unreachable.
   */
  private static final int UNREACHABLE_MIN_LOST_RESPONSES = 2;

  /**
   * A time before all other times, far enough from the limits of the type that adding or
   * subtracting a duration does not overflow.
   */
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 4;

  private long incarnation;
  private long incarnationSeenMicros = DISTANT_PAST_MICROS;
  private long sequenceNumber;
  private long heartbeatSequenceNumber;
  private long lastHeartbeatMicros = -1;
  private long lastSeenMicros = -1;
  private long lastRenewalMicros = -1;
  private long formerOwnerRenewalMicros = DISTANT_PAST_MICROS;
  private boolean commandInFlight;
  private int consecutiveFailedCalls;
  private int consecutiveLostResponses;
  private boolean unreachable;

  /**
   * The worker's incarnation (a number that increases each time its lease expires) in the newest
   * heartbeat; 0 before the first heartbeat.
   */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Raises the worker's incarnation (a number that increases each time its lease expires) to at
   * least the given one, which another leader has reported for the machine.
   */
  public void raiseIncarnation(long known, long nowMicros) {
    if (known > incarnation) {
      incarnation = known;
      incarnationSeenMicros = nowMicros;
    }
  }

  /**
   * Time at which this leader learned of the worker's present incarnation; a time in the distant
   * past before the first heartbeat. The incarnation began before that time.
   */
  public long incarnationSeenMicros() {
    return incarnationSeenMicros;
  }

  /**
   * Sequence number of the newest heartbeat in the worker's current incarnation (a number that
   * increases each time the worker's lease expires).
   */
  public long sequenceNumber() {
    return sequenceNumber;
  }

  /**
   * Sequence number of the last heartbeat that the worker sent on its own. Heartbeats in responses
   * to direct calls may have higher sequence numbers.
   */
  public long heartbeatSequenceNumber() {
    return heartbeatSequenceNumber;
  }

  /** Records a heartbeat of the machine. */
  void recordHeartbeat(Heartbeat heartbeat, HeartbeatSource source, long nowMicros) {
    if (heartbeat.incarnation() > incarnation) {
      heartbeatSequenceNumber = 0;
      raiseIncarnation(heartbeat.incarnation(), nowMicros);
    }
    sequenceNumber = heartbeat.sequenceNumber();
    lastSeenMicros = nowMicros;
    if (source == HeartbeatSource.WORKER) {
      heartbeatSequenceNumber = heartbeat.sequenceNumber();
      lastHeartbeatMicros = nowMicros;
    }
  }

  /** True if the heartbeat is newer than the newest one received, or if none has been received. */
  public boolean isNewerThanLast(Heartbeat heartbeat) {
    boolean hasPrevious = incarnation > 0 || sequenceNumber > 0;
    return !hasPrevious || heartbeat.isNewerThan(incarnation, sequenceNumber);
  }

  /**
   * Records a heartbeat that the machine sent before it responded to a direct call (a call from the
   * leader to the worker), but that arrived after this response.
   */
  public void recordOutOfOrderHeartbeat(long lateSequenceNumber, long nowMicros) {
    heartbeatSequenceNumber = lateSequenceNumber;
    lastHeartbeatMicros = nowMicros;
    lastSeenMicros = nowMicros;
  }

  /** True once a heartbeat that the worker sent on its own has arrived in this term. */
  public boolean hasSentHeartbeat() {
    return lastHeartbeatMicros >= 0;
  }

  /**
   * Time at which the last heartbeat that the worker sent on its own, not in the response to a
   * direct call, arrived.
   */
  public long lastHeartbeatMicros() {
    return lastHeartbeatMicros;
  }

  /**
   * Time at which the last heartbeat arrived, including heartbeats in responses to direct calls.
   */
  public long lastSeenMicros() {
    return lastSeenMicros;
  }

  /** Records a heartbeat response that renews the machine's lease. */
  void recordRenewal(long nowMicros) {
    lastRenewalMicros = nowMicros;
  }

  /** Time at which this controller last sent a response that renews the machine's lease. */
  public long lastRenewalMicros() {
    return lastRenewalMicros;
  }

  /**
   * The latest time at which a former owner (a shard that owned the machine earlier) may have
   * renewed the machine's lease; a time in the distant past if no former owner can have renewed it.
   */
  public long formerOwnerRenewalMicros() {
    return formerOwnerRenewalMicros;
  }

  /**
   * Records that a former owner (a shard that owned the machine earlier) may have renewed the
   * machine's lease up to the given time.
   */
  public void recordFormerOwnerRenewal(long untilMicros) {
    formerOwnerRenewalMicros = Math.max(formerOwnerRenewalMicros, untilMicros);
  }

  /** True while a direct call (a call from the leader to the worker) is in flight. */
  public boolean commandInFlight() {
    return commandInFlight;
  }

  /** Sets whether a direct call to the machine is in flight. */
  public void setCommandInFlight(boolean inFlight) {
    commandInFlight = inFlight;
  }

  /**
   * Records the end of a direct call (a call from the leader to the worker).
   *
   * @param answered false if the call got no response
   */
  public void recordDirectCall(boolean answered) {
    consecutiveFailedCalls = answered ? 0 : consecutiveFailedCalls + 1;
  }

  /**
   * The number of consecutive direct calls (calls from the leader to the worker) without a
   * response.
   */
  public int consecutiveFailedCalls() {
    return consecutiveFailedCalls;
  }

  /**
   * Records that a heartbeat shows neither the command nor the token of an earlier response, so the
   * response was lost. After two consecutive lost responses, the machine counts as unreachable and
   * gets neither work nor lease renewals until a heartbeat shows the token. Otherwise each response
   * would postpone the time at which the machine's lease is certain to have expired.
   */
  public void recordLostResponse() {
    consecutiveLostResponses++;
    if (consecutiveLostResponses >= UNREACHABLE_MIN_LOST_RESPONSES) {
      unreachable = true;
    }
  }

  /**
   * Records that a heartbeat shows that the earlier responses have reached the worker, so that the
   * machine does not count as unreachable.
   */
  public void recordDeliveredResponse() {
    consecutiveLostResponses = 0;
    unreachable = false;
  }

  /**
   * True while heartbeats of the machine arrive but neither responses nor commands seem to reach
   * the machine.
   */
  public boolean unreachable() {
    return unreachable;
  }
}
