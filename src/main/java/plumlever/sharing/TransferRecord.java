package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * The transfer record of one machine that changes its owner or that holds foreign tasks (tasks
 * whose own shard, the originating shard, does not own the machine). Each change of the state is
 * one transaction with preconditions:
 *
 * <ul>
 *   <li>{@link State#OFFERED}: the owner offers the machine to another shard. The owner stops
 *       starting tasks on the machine before the transaction is sent.
 *   <li>{@link State#TAKEN}: the new owner has acquired the machine, under a number that is newer
 *       than any that the former owner could have used. The tasks by shard are those that may still
 *       be on the machine.
 *   <li>{@link State#GONE}: the machine does not exist any more. The originating shards have yet to
 *       end their attempts on the machine.
 * </ul>
 *
 * <p>Each originating shard removes itself from the record once none of its tasks can be on the
 * machine. A record without originating shards and without an offer is deleted; only the owner
 * record then lists the machine.
 *
 * @param incarnation the worker's incarnation when the machine was offered; the number increases
 *     each time that the worker's lease expires
 * @param number number from the pool's counter; the current owner's fencing tokens for the machine
 *     have this number or a higher one as their term
 * @param tasksByShard foreign tasks by the shard whose jobs they belong to
 */
public record TransferRecord(
    State state,
    Details machine,
    long incarnation,
    String owner,
    long number,
    Optional<Offer> offer,
    Map<String, List<ForeignTask>> tasksByShard) {
  /** State of the transfer. */
  public enum State {
    OFFERED,
    TAKEN,
    GONE
  }

  /** The properties that a new owner needs in order to manage the machine. */
  public record Details(
      String id, String endpoint, String machineType, String zone, boolean spot) {}

  /**
   * An offer of a machine to another shard.
   *
   * @param to shard that may accept the offer
   * @param termRevision revision of the offering shard's term record: the offer is valid only while
   *     that revision is unchanged
   * @param digest digest of the offering controller's sharing file
   */
  public record Offer(String to, long termRevision, String digest) {}

  private static final String PREFIX = "/pool/transfers/";

  private static final String STATE = "state";
  private static final String ENDPOINT = "endpoint";
  private static final String MACHINE_TYPE = "flavor";
  private static final String ZONE = "site";
  private static final String SPOT = "spot";
  private static final String INCARNATION = "session";
  private static final String OWNER = "owner";
  private static final String NUMBER = "number";
  private static final String OFFER = "offer";
  private static final String OFFERED_TO = "to";
  private static final String TERM_REVISION = "term_stamp";
  private static final String DIGEST = "digest";
  private static final String ORIGINATING_SHARDS = "homes";

  /** Returns the key of the machine's transfer record. */
  public static String keyOf(String machine) {
    return PREFIX + machine;
  }

  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  static String machineOf(String key) {
    return key.substring(PREFIX.length());
  }

  /**
   * Returns true if the transfer record lists the shard's tasks, and another shard owns the machine
   * or the machine is gone. The shard must then settle these tasks.
   */
  public boolean hasTasksOf(String shard) {
    return tasksByShard.containsKey(shard) && !(state != State.GONE && owner.equals(shard));
  }

  /**
   * Returns the record of a machine that its owner offers to another shard. The record replaces the
   * machine's earlier one, which exists if the machine already holds foreign tasks.
   */
  public static TransferRecord offered(
      Details machine,
      long incarnation,
      String owner,
      long number,
      Offer offer,
      Map<String, List<ForeignTask>> tasksByShard) {
    return new TransferRecord(
        State.OFFERED, machine, incarnation, owner, number, Optional.of(offer), tasksByShard);
  }

  /**
   * Returns the transfer record after the new owner has acquired the machine. The new owner's tasks
   * on the machine are removed from the record: they are not foreign tasks any more.
   */
  public TransferRecord taken(String newOwner, long newNumber) {
    Map<String, List<ForeignTask>> remainingTasks = new TreeMap<>(tasksByShard);
    remainingTasks.remove(newOwner);
    return new TransferRecord(
        State.TAKEN, machine, incarnation, newOwner, newNumber, Optional.empty(), remainingTasks);
  }

  /**
   * Returns the transfer record after the owner has withdrawn the offer of the machine. The owner's
   * tasks are removed from the record: they are not foreign tasks.
   */
  public TransferRecord withdrawn() {
    Map<String, List<ForeignTask>> remainingTasks = new TreeMap<>(tasksByShard);
    remainingTasks.remove(owner);
    return new TransferRecord(
        State.TAKEN, machine, incarnation, owner, number, Optional.empty(), remainingTasks);
  }

  /** Returns the transfer record after the machine was returned to the cloud. */
  public TransferRecord gone() {
    return new TransferRecord(
        State.GONE, machine, incarnation, owner, number, Optional.empty(), tasksByShard);
  }

  /**
   * Returns a copy of the transfer record without the shard's tasks, for use once none of them can
   * be on the machine.
   */
  public TransferRecord withoutTasksOf(String shard) {
    Map<String, List<ForeignTask>> remainingTasks = new TreeMap<>(tasksByShard);
    remainingTasks.remove(shard);
    return new TransferRecord(state, machine, incarnation, owner, number, offer, remainingTasks);
  }

  /**
   * Returns true if the transfer record has neither foreign tasks nor an offer and can be deleted.
   */
  public boolean isSettled() {
    return tasksByShard.isEmpty() && offer.isEmpty();
  }

  /** Returns the stored form of the transfer record. */
  public ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put(STATE, state.name())
            .put(ENDPOINT, machine.endpoint())
            .put(MACHINE_TYPE, machine.machineType())
            .put(ZONE, machine.zone())
            .put(SPOT, machine.spot())
            .put(INCARNATION, incarnation)
            .put(OWNER, owner)
            .put(NUMBER, number);
    offer.ifPresent(
        made ->
            object
                .putObject(OFFER)
                .put(OFFERED_TO, made.to())
                .put(TERM_REVISION, made.termRevision())
                .put(DIGEST, made.digest()));
    ObjectNode stored = object.putObject(ORIGINATING_SHARDS);
    tasksByShard.forEach(
        (shard, foreignTasks) -> {
          ArrayNode array = stored.putArray(shard);
          foreignTasks.forEach(foreignTask -> foreignTask.writeTo(array));
        });
    return object;
  }

  /** Parses a machine's stored transfer record. */
  public static TransferRecord parse(String machine, JsonNode data) throws InvalidMessageException {
    State state;
    try {
      state = State.valueOf(data.path(STATE).asText());
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException("transfer record of " + machine + " has an unknown state");
    }
    Details details =
        new Details(
            machine,
            Json.text(data, ENDPOINT),
            Json.text(data, MACHINE_TYPE),
            Json.text(data, ZONE),
            Json.flag(data, SPOT));
    Optional<Offer> offer = Optional.empty();
    if (data.path(OFFER) instanceof ObjectNode made) {
      offer =
          Optional.of(
              new Offer(
                  Json.text(made, OFFERED_TO),
                  Json.wholeNumber(made, TERM_REVISION, 0, Long.MAX_VALUE),
                  Json.text(made, DIGEST)));
    }
    if (!(data.path(ORIGINATING_SHARDS) instanceof ObjectNode stored)) {
      throw new InvalidMessageException(
          "transfer record of " + machine + " lacks the originating shards");
    }
    Map<String, List<ForeignTask>> tasksByShard = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : stored.properties()) {
      List<ForeignTask> foreignTasks = new ArrayList<>();
      for (JsonNode node : entry.getValue()) {
        foreignTasks.add(ForeignTask.parse(node));
      }
      tasksByShard.put(entry.getKey(), foreignTasks);
    }
    return new TransferRecord(
        state,
        details,
        Json.wholeNumber(data, INCARNATION, 0, Long.MAX_VALUE),
        Json.text(data, OWNER),
        Json.wholeNumber(data, NUMBER, 0, Long.MAX_VALUE),
        offer,
        tasksByShard);
  }
}
