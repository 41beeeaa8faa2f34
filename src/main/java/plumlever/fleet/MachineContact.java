package plumlever.fleet;

import plumlever.wire.Heartbeat;

/**
 * When a machine and this leader last heard of each other, and in which worker incarnation. Times
 * are in microseconds on this controller's steady clock; -1 stands for never in this term.
 */
public final class MachineContact {
  /** Answers in a row that did not arrive at a machine that counts as unreachable. */
  private static final int LOST_ANSWERS_OF_UNREACHABLE = 2;

  /** Before any time, also after another time is added to or subtracted from it. */
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 4;

  private long incarnation;
  private long sequenceNumber;
  private long ownSequenceNumber;
  private long lastHeartbeatMicros = -1;
  private long lastSeenMicros = -1;
  private long lastRenewalMicros = -1;
  private long renewedElsewhereMicros = DISTANT_PAST_MICROS;
  private boolean commandInFlight;
  private int consecutiveFailedCalls;
  private int consecutiveLostAnswers;
  private boolean unreachable;

  /** The worker's incarnation by its newest report; 0 before the first. */
  public long incarnation() {
    return incarnation;
  }

  /** Another leader knows the machine in this incarnation. */
  public void raiseIncarnation(long known) {
    incarnation = Math.max(incarnation, known);
  }

  /** Sequence number of the newest report in this incarnation. */
  public long sequenceNumber() {
    return sequenceNumber;
  }

  /**
   * Sequence number of the last heartbeat that it sent itself; answers to direct calls may have
   * larger ones.
   */
  public long ownSequenceNumber() {
    return ownSequenceNumber;
  }

  /** The machine has reported its state. */
  void recordReport(Heartbeat heartbeat, HeartbeatSource source, long nowMicros) {
    if (heartbeat.incarnation() > incarnation) {
      ownSequenceNumber = 0;
    }
    incarnation = heartbeat.incarnation();
    sequenceNumber = heartbeat.sequenceNumber();
    lastSeenMicros = nowMicros;
    if (source == HeartbeatSource.WORKER) {
      ownSequenceNumber = heartbeat.sequenceNumber();
      lastHeartbeatMicros = nowMicros;
    }
  }

  /** True unless a report as new or newer has been received. */
  public boolean isNewerThanLast(Heartbeat heartbeat) {
    boolean hasPrevious = incarnation > 0 || sequenceNumber > 0;
    return !hasPrevious || heartbeat.isNewerThan(incarnation, sequenceNumber);
  }

  /** A heartbeat has arrived after the answer to a direct call that the machine sent later. */
  public void recordOvertakenHeartbeat(long heartbeatSequenceNumber, long nowMicros) {
    ownSequenceNumber = heartbeatSequenceNumber;
    lastHeartbeatMicros = nowMicros;
    lastSeenMicros = nowMicros;
  }

  /** True once a heartbeat has arrived in this term. */
  public boolean hasReported() {
    return lastHeartbeatMicros >= 0;
  }

  /** When its last heartbeat arrived. */
  public long lastHeartbeatMicros() {
    return lastHeartbeatMicros;
  }

  /** When its last report arrived, by a heartbeat or by the answer to a direct call. */
  public long lastSeenMicros() {
    return lastSeenMicros;
  }

  /** A heartbeat was answered so that its lease is renewed. */
  void recordRenewal(long nowMicros) {
    lastRenewalMicros = nowMicros;
  }

  /** When this controller last sent an answer that renews its lease. */
  public long lastRenewalMicros() {
    return lastRenewalMicros;
  }

  /** The latest time at which a former owner may have renewed its lease; long past if none did. */
  public long renewedElsewhereMicros() {
    return renewedElsewhereMicros;
  }

  /** A former owner may have renewed its lease until then. */
  public void recordRenewalElsewhere(long untilMicros) {
    renewedElsewhereMicros = Math.max(renewedElsewhereMicros, untilMicros);
  }

  /** True while a direct call to it is open. */
  public boolean commandInFlight() {
    return commandInFlight;
  }

  /** Whether a direct call to it is open. */
  public void setCommandInFlight(boolean inFlight) {
    commandInFlight = inFlight;
  }

  /**
   * A direct call has ended.
   *
   * @param answered false if it got no answer
   */
  public void recordDirectCall(boolean answered) {
    consecutiveFailedCalls = answered ? 0 : consecutiveFailedCalls + 1;
  }

  /** Direct calls in a row that got no answer. */
  public int consecutiveFailedCalls() {
    return consecutiveFailedCalls;
  }

  /**
   * A heartbeat shows neither a command nor a token that an earlier answer carried. After two such
   * in a row the machine gets neither work nor lease renewals until it shows the token. Otherwise
   * each answer would push back the time at which its lease has surely expired.
   */
  public void recordLostAnswer() {
    consecutiveLostAnswers++;
    if (consecutiveLostAnswers >= LOST_ANSWERS_OF_UNREACHABLE) {
      unreachable = true;
    }
  }

  /** A heartbeat shows what the answers before it carried. */
  public void recordDeliveredAnswer() {
    consecutiveLostAnswers = 0;
    unreachable = false;
  }

  /** True while its heartbeats arrive although no answer or command seems to reach it. */
  public boolean unreachable() {
    return unreachable;
  }
}
