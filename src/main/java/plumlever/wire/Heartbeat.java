package plumlever.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The state of a worker and its machine: the body of a heartbeat request and of the response to a
 * direct call.
 *
 * @param spot true if the cloud may preempt the machine at short notice
 * @param incarnation a number that increases each time the worker's lease expires
 * @param sequenceNumber a number that increases with each heartbeat of the same incarnation,
 *     including heartbeats in responses to direct calls
 * @param fencingToken the highest fencing token that the worker has seen
 * @param preemptionNoticeS the time until the cloud preempts the machine, in seconds; {@link
 *     #NO_NOTICE} if the cloud has not announced a preemption
 * @param attempts the attempts on the machine, including ended attempts that are not yet removed
 */
public record Heartbeat(
    String machineId,
    String endpoint,
    String machineType,
    String zone,
    boolean spot,
    long incarnation,
    long sequenceNumber,
    long fencingToken,
    double preemptionNoticeS,
    List<AttemptStatus> attempts) {

  /** The value of {@code preemptionNoticeS} for a machine without a preemption notice. */
  public static final double NO_NOTICE = -1;

  /**
   * The status of an attempt on a machine.
   *
   * @param attempt the number of the attempt
   * @param cause why the attempt ended; null while the attempt has not ended
   * @param saved true if the attempt was stopped and its progress was saved
   */
  public record AttemptStatus(
      TaskName task, long attempt, AttemptState state, ExitCause cause, boolean saved) {}

  /**
   * Parses the body of a heartbeat; unknown fields are skipped.
   *
   * @param body JSON in UTF-8
   * @throws InvalidMessageException if a required field is missing, or a field has the wrong type
   *     or is out of range
   */
  public static Heartbeat parse(byte[] body) throws InvalidMessageException {
    return HeartbeatReader.read(body);
  }

  /** True if at least one attempt on the machine has not ended. */
  public boolean hasUnfinishedAttempts() {
    for (AttemptStatus attemptStatus : attempts) {
      if (attemptStatus.state() != AttemptState.ENDED) {
        return true;
      }
    }
    return false;
  }

  /** True if the cloud has announced that it will preempt the machine. */
  public boolean hasPreemptionNotice() {
    return preemptionNoticeS >= 0;
  }

  /**
   * True if this heartbeat is from a later incarnation than the given one, or from the same
   * incarnation with a larger sequence number.
   */
  public boolean isNewerThan(long otherIncarnation, long otherSequenceNumber) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
  }

  /** Returns the heartbeat as JSON, in the form that workers send. */
  ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put(ProtocolField.MACHINE_ID, machineId)
            .put(ProtocolField.ENDPOINT, endpoint)
            .put(ProtocolField.MACHINE_TYPE, machineType)
            .put(ProtocolField.ZONE, zone)
            .put(ProtocolField.SPOT, spot)
            .put(ProtocolField.INCARNATION, incarnation)
            .put(ProtocolField.SEQUENCE_NUMBER, sequenceNumber)
            .put(ProtocolField.FENCING_TOKEN, fencingToken);
    if (hasPreemptionNotice()) {
      object.put(ProtocolField.PREEMPTION_NOTICE_S, preemptionNoticeS);
    }
    ArrayNode list = object.putArray(ProtocolField.ATTEMPTS);
    for (AttemptStatus attempt : attempts) {
      ObjectNode entry =
          list.addObject()
              .put(ProtocolField.TASK, attempt.task().wireName())
              .put(ProtocolField.ATTEMPT, attempt.attempt())
              .put(ProtocolField.STATUS, attempt.state().wireName());
      if (attempt.cause() != null) {
        entry
            .put(ProtocolField.EXIT_CAUSE, attempt.cause().wireName())
            .put(ProtocolField.SAVED, attempt.saved());
      }
    }
    return object;
  }
}
