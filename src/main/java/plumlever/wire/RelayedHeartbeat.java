package plumlever.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What the owner of a machine relays to a shard whose tasks may be on it: the machine's own
 * heartbeat, with that shard's attempts only.
 *
 * @param from the shard that owns the machine
 * @param originatingShard the shard whose attempts these are
 * @param number the term or transfer number that the owner's commands to the machine carry
 * @param lapsed the owner has proof that the machine's lease expired after this heartbeat
 */
public record RelayedHeartbeat(
    String from, String originatingShard, long number, boolean lapsed, Heartbeat heartbeat) {
  private static final String FROM = "from";
  private static final String ORIGINATING_SHARD = "home";
  private static final String NUMBER = "number";
  private static final String LAPSED = "lapsed";
  private static final String HEARTBEAT = "report";

  /** The body of the request: JSON in UTF-8. */
  public byte[] write() {
    ObjectNode object =
        Json.object()
            .put(FROM, from)
            .put(ORIGINATING_SHARD, originatingShard)
            .put(NUMBER, number)
            .put(LAPSED, lapsed)
            .set(HEARTBEAT, heartbeat.toJson());
    return Json.write(object).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads the body of such a request.
   *
   * @param body JSON in UTF-8
   */
  public static RelayedHeartbeat parse(byte[] body) throws InvalidMessageException {
    ObjectNode object = Json.parseObject(body);
    if (!(object.get(HEARTBEAT) instanceof ObjectNode heartbeat)) {
      throw new InvalidMessageException(HEARTBEAT + " is missing");
    }
    return new RelayedHeartbeat(
        Json.text(object, FROM),
        Json.text(object, ORIGINATING_SHARD),
        Json.whole(object, NUMBER, 0, Long.MAX_VALUE),
        Json.flag(object, LAPSED),
        Heartbeat.parse(Json.write(heartbeat).getBytes(StandardCharsets.UTF_8)));
  }

  /** The same heartbeat with other attempts. */
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
