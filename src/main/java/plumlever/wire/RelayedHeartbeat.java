package plumlever.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A heartbeat of a machine, relayed by the shard that owns the machine to the originating shard
 * (another shard whose tasks are on the machine). Contains only the attempts of the originating
 * shard.
 *
 * @param owningShard the shard that owns the machine
 * @param originatingShard the shard to which the attempts in the heartbeat belong
 * @param ownershipNumber the high bits of the machine's fencing tokens: the term of the owning
 *     shard's leader or, after the machine was transferred between shards, the number of that
 *     transfer
 * @param leaseExpired true if the owning shard has proof that the machine's lease expired after
 *     this heartbeat
 */
public record RelayedHeartbeat(
    String owningShard,
    String originatingShard,
    long ownershipNumber,
    boolean leaseExpired,
    Heartbeat heartbeat) {
  private static final String FROM = "from";
  private static final String ORIGINATING_SHARD = "home";
  private static final String NUMBER = "number";
  private static final String LAPSED = "lapsed";
  private static final String HEARTBEAT = "report";

  /** Encodes the relayed heartbeat as JSON in UTF-8. */
  public byte[] write() {
    ObjectNode object =
        Json.object()
            .put(FROM, owningShard)
            .put(ORIGINATING_SHARD, originatingShard)
            .put(NUMBER, ownershipNumber)
            .put(LAPSED, leaseExpired)
            .set(HEARTBEAT, heartbeat.toJson());
    return Json.write(object).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes a relayed heartbeat.
   *
   * @param body the message body: JSON in UTF-8
   */
  public static RelayedHeartbeat parse(byte[] body) throws InvalidMessageException {
    ObjectNode object = Json.parseObject(body);
    if (!(object.get(HEARTBEAT) instanceof ObjectNode heartbeat)) {
      throw new InvalidMessageException(HEARTBEAT + " is missing");
    }
    return new RelayedHeartbeat(
        Json.text(object, FROM),
        Json.text(object, ORIGINATING_SHARD),
        Json.wholeNumber(object, NUMBER, 0, Long.MAX_VALUE),
        Json.flag(object, LAPSED),
        Heartbeat.parse(Json.write(heartbeat).getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns a copy of the heartbeat that lists only these attempts. */
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
