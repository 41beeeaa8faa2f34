package plumlever.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * What a worker reports of its machine: the body of a heartbeat, and of the answers to direct
 * calls.
 *
 * @param spot true if the cloud may take the machine back at short notice
 * @param incarnation grows each time the worker's lease has expired
 * @param sequenceNumber grows with each report of an incarnation
 * @param fencingToken the highest that the worker has seen
 * @param preemptionNoticeS in how many seconds the cloud takes the machine back, or {@link
 *     #NO_NOTICE}
 * @param attempts those on the machine, and those that ended and have not been removed
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

  /** The value of {@code preemptionNoticeS} for a machine without a notice. */
  public static final double NO_NOTICE = -1;

  /**
   * An attempt on a machine.
   *
   * @param attempt its number
   * @param cause why it ended; null before its end
   * @param saved true if it was stopped and its progress was saved
   */
  public record AttemptStatus(
      TaskName task, long attempt, AttemptState state, ExitCause cause, boolean saved) {}

  /**
   * Reads the body of a heartbeat; unknown fields are skipped.
   *
   * @param body JSON in UTF-8
   * @throws InvalidMessageException if a required field is missing, or any has a wrong type or
   *     range
   */
  public static Heartbeat parse(byte[] body) throws InvalidMessageException {
    return HeartbeatReader.read(body);
  }

  /** True if any attempt has not ended. */
  public boolean holdsTasks() {
    for (AttemptStatus attemptStatus : attempts) {
      if (attemptStatus.state() != AttemptState.ENDED) {
        return true;
      }
    }
    return false;
  }

  /** True if the cloud has announced that it takes the machine back. */
  public boolean hasPreemptionNotice() {
    return preemptionNoticeS >= 0;
  }

  /** True if it is of a later incarnation, or of the same with a larger sequence number. */
  public boolean isNewerThan(long incarnationThere, long sequenceNumberThere) {
    return incarnation > incarnationThere
        || (incarnation == incarnationThere && sequenceNumber > sequenceNumberThere);
  }

  /** The fields as a worker sends them. */
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
