package plumlever.fleet;

import plumlever.wire.Heartbeat;

/**
 * When a machine and this leader last heard of each other, and in which incarnation. Times are in
 * microseconds on this controller's steady clock; -1 stands for never in this term.
 */
public final class MachineContact {
  /** Answers in a row that do not arrive before the machine counts as unreachable. */
  private static final int LOST_ANSWERS_OF_UNREACHABLE = 2;

  private long incarnation;
  private long sequenceNumber;
  private long ownSequenceNumber;
  private long lastHeartbeatMicros = -1;
  private long lastSeenMicros = -1;
  private long lastRenewalMicros = -1;
  private long renewedElsewhereMicros = Long.MIN_VALUE / 4;
  private boolean commandInFlight;
  private int consecutiveFailedCalls;
  private int consecutiveLostAnswers;
  private boolean unreachable;

  /** The worker's incarnation by the newest message; 0 before the first. */
  public long incarnation() {
    return incarnation;
  }

  /** The machine was last known to another leader in this incarnation. */
  public void raiseIncarnation(long known) {
    incarnation = Math.max(incarnation, known);
  }

  /** Sequence number of the newest message in this incarnation. */
  public long sequenceNumber() {
    return sequenceNumber;
  }

  /**
   * Number of the last heartbeat that it sent itself; bodies of direct answers may have larger
   * ones.
   */
  public long ownSequenceNumber() {
    return ownSequenceNumber;
  }

  /**
   * The machine told of itself.
   *
   * @param own by a heartbeat of its own, not by the answer to a direct call
   */
  void recordReport(Heartbeat heartbeat, long nowMicros, boolean own) {
    if (heartbeat.incarnation() > incarnation) {
      ownSequenceNumber = 0;
    }
    incarnation = heartbeat.incarnation();
    sequenceNumber = heartbeat.sequenceNumber();
    lastSeenMicros = nowMicros;
    if (own) {
      ownSequenceNumber = heartbeat.sequenceNumber();
      lastHeartbeatMicros = nowMicros;
    }
  }

  /** True unless something as new or newer has been heard of the machine. */
  public boolean isNewerThanLast(Heartbeat heartbeat) {
    boolean heardBefore = incarnation > 0 || sequenceNumber > 0;
    return !heardBefore || heartbeat.isNewerThan(incarnation, sequenceNumber);
  }

  /** A heartbeat of its own came after the body of a direct call that was sent later. */
  public void recordOvertakenHeartbeat(long heartbeatSequenceNumber, long nowMicros) {
    ownSequenceNumber = heartbeatSequenceNumber;
    lastHeartbeatMicros = nowMicros;
    lastSeenMicros = nowMicros;
  }

  /** True once it has reported in this term. */
  public boolean hasReported() {
    return lastHeartbeatMicros >= 0;
  }

  public long lastHeartbeatMicros() {
    return lastHeartbeatMicros;
  }

  /** When it last told anything, by a heartbeat or by the answer to a direct call. */
  public long lastSeenMicros() {
    return lastSeenMicros;
  }

  void recordRenewal(long nowMicros) {
    lastRenewalMicros = nowMicros;
  }

  /** When this controller last let it renew its lease. */
  public long lastRenewalMicros() {
    return lastRenewalMicros;
  }

  /**
   * Until when a former owner may have let it renew its lease; far in the past if there was none.
   */
  public long renewedElsewhereMicros() {
    return renewedElsewhereMicros;
  }

  public void recordRenewalElsewhere(long untilMicros) {
    renewedElsewhereMicros = Math.max(renewedElsewhereMicros, untilMicros);
  }

  /** True while a direct call to it, or the answer, is on its way. */
  public boolean commandInFlight() {
    return commandInFlight;
  }

  public void setCommandInFlight(boolean now) {
    commandInFlight = now;
  }

  /** A direct call came to its end. */
  public void recordDirectCall(boolean recordRenewal) {
    consecutiveFailedCalls = recordRenewal ? 0 : consecutiveFailedCalls + 1;
  }

  /** Direct calls in a row that got no answer. */
  public int consecutiveFailedCalls() {
    return consecutiveFailedCalls;
  }

  /**
   * A heartbeat shows nothing of what was sent before it: a command that is lost, a token that is
   * not taken. After two in a row the machine gets neither work nor its lease renewed until it
   * shows the token. Else each answer would push back the time at which its lease has surely
   * lapsed.
   */
  public void recordLostAnswer() {
    consecutiveLostAnswers++;
    if (consecutiveLostAnswers >= LOST_ANSWERS_OF_UNREACHABLE) {
      unreachable = true;
    }
  }

  public void recordDeliveredAnswer() {
    consecutiveLostAnswers = 0;
    unreachable = false;
  }

  /** True while its heartbeats arrive although no answer or command seems to reach it. */
  public boolean unreachable() {
    return unreachable;
  }
}
