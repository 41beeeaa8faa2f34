package plumlever.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What the owner of a machine passes on to a cell whose tasks may be on it: the machine's own
 * report, with that cell's tasks only.
 *
 * @param from the cell that owns the machine
 * @param home the cell whose tasks these are
 * @param number that the owner's commands to the machine carry
 * @param lapsed the owner has proof that the machine's lease lapsed after this heartbeat
 */
public record RelayedHeartbeat(
    String from, String home, long number, boolean lapsed, Heartbeat heartbeat) {
  private static final String FROM = "from";
  private static final String HOME = "home";
  private static final String NUMBER = "number";
  private static final String LAPSED = "lapsed";
  private static final String HEARTBEAT = "report";

  /** The body of the request. */
  public byte[] write() {
    ObjectNode object =
        Json.object()
            .put(FROM, from)
            .put(HOME, home)
            .put(NUMBER, number)
            .put(LAPSED, lapsed)
            .set(HEARTBEAT, json(heartbeat));
    return Json.write(object).getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode json(Heartbeat heartbeat) {
    ObjectNode object =
        Json.object()
            .put(ProtocolField.MACHINE_ID, heartbeat.machineId())
            .put(ProtocolField.ENDPOINT, heartbeat.endpoint())
            .put(ProtocolField.MACHINE_TYPE, heartbeat.machineType())
            .put(ProtocolField.ZONE, heartbeat.zone())
            .put(ProtocolField.SPOT, heartbeat.spot())
            .put(ProtocolField.INCARNATION, heartbeat.incarnation())
            .put(ProtocolField.SEQUENCE_NUMBER, heartbeat.sequenceNumber())
            .put(ProtocolField.FENCING_TOKEN, heartbeat.fencingToken());
    if (heartbeat.hasPreemptionNotice()) {
      object.put(ProtocolField.PREEMPTION_NOTICE_S, heartbeat.preemptionNoticeS());
    }
    ArrayNode attempts = object.putArray(ProtocolField.ATTEMPTS);
    for (Heartbeat.AttemptStatus attempt : heartbeat.attempts()) {
      ObjectNode node =
          attempts
              .addObject()
              .put(ProtocolField.TASK, attempt.task().wireName())
              .put(ProtocolField.ATTEMPT, attempt.attempt())
              .put(ProtocolField.STATUS, attempt.state().wireName());
      if (attempt.cause() != null) {
        node.put("exit_cause", attempt.cause().wireName()).put("saved", attempt.saved());
      }
    }
    return object;
  }

  /** Reads the body of such a request. */
  public static RelayedHeartbeat parse(byte[] body) throws InvalidMessageException {
    ObjectNode object = Json.parseObject(body);
    if (!(object.get(HEARTBEAT) instanceof ObjectNode heartbeat)) {
      throw new InvalidMessageException("report is missing");
    }
    return new RelayedHeartbeat(
        Json.text(object, FROM),
        Json.text(object, HOME),
        Json.whole(object, NUMBER, 0, Long.MAX_VALUE),
        Json.flag(object, LAPSED),
        Heartbeat.parse(Json.write(heartbeat).getBytes(StandardCharsets.UTF_8)));
  }

  /** The same with the tasks that are given. */
  public static Heartbeat withAttempts(
      Heartbeat heartbeat, List<Heartbeat.AttemptStatus> attempts) {
    return new Heartbeat(
        heartbeat.machineId(),
        heartbeat.endpoint(),
        heartbeat.machineType(),
        heartbeat.zone(),
        heartbeat.spot(),
        heartbeat.incarnation(),
        heartbeat.sequenceNumber(),
        heartbeat.fencingToken(),
        heartbeat.preemptionNoticeS(),
        attempts);
  }
}
