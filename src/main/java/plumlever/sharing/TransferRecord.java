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
 * The state of one machine that changes its owner, or that holds tasks of others than its owner. It
 * goes through these states, each step one transaction with preconditions:
 *
 * <ul>
 *   <li>{@link State#OFFERED}: the owner gives it up; it starts nothing on it from before the
 *       transaction is sent.
 *   <li>{@link State#TAKEN}: the taker owns it, and uses a number that is newer than any that the
 *       former owner could have used. Tasks by shard are those that may still be on it.
 *   <li>{@link State#GONE}: the machine does not exist any more; its originating shards have still
 *       to see that their tasks are over.
 * </ul>
 *
 * <p>Each originating shard leaves the record once none of its tasks can be on the machine. A
 * record without originating shards is dropped, and what the machine was is in the record of owners
 * only.
 *
 * @param incarnation of the worker when it was offered
 * @param number from the pool's counter, by which the present owner's commands are ordered
 * @param originatingShards foreign task tasks by shard
 */
public record TransferRecord(
    State state,
    Details machine,
    long incarnation,
    String owner,
    long number,
    Optional<Offer> offer,
    Map<String, List<ForeignTask>> tasksByShard) {
  /** Where the transfer stands. */
  public enum State {
    OFFERED,
    TAKEN,
    GONE
  }

  /** What a machine is, for an owner that has never heard of it. */
  public record Details(
      String id, String endpoint, String machineType, String zone, boolean spot) {}

  /**
   * To whom a machine is offered.
   *
   * @param termRevision revision of the offering shard's term: the offer holds as long as it does
   * @param digest of the sharing file of the offering controller
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
  private static final String TAKER = "to";
  private static final String TERM_REVISION = "term_stamp";
  private static final String DIGEST = "digest";
  private static final String ORIGINATING_SHARDS = "homes";

  /** The key of the machine's record. */
  public static String keyOf(String machine) {
    return PREFIX + machine;
  }

  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  static String machineOf(String key) {
    return key.substring(PREFIX.length());
  }

  /** True if tasks of the shard may be on the machine, which is not its own. */
  public boolean hasTasksOf(String shard) {
    return tasksByShard.containsKey(shard) && !(state != State.GONE && owner.equals(shard));
  }

  /**
   * The first record of a machine that its owner offers, or the next of one that has foreign tasks.
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

  /** The taker owns it from here on; its own tasks there are foreign tasks no more. */
  public TransferRecord taken(String taker, long newNumber) {
    Map<String, List<ForeignTask>> remainingTasks = new TreeMap<>(tasksByShard);
    remainingTasks.remove(taker);
    return new TransferRecord(
        State.TAKEN, machine, incarnation, taker, newNumber, Optional.empty(), remainingTasks);
  }

  /** The offer is taken back; the owner's own tasks need not be listed any more. */
  public TransferRecord withdrawn() {
    Map<String, List<ForeignTask>> remainingTasks = new TreeMap<>(tasksByShard);
    remainingTasks.remove(owner);
    return new TransferRecord(
        State.TAKEN, machine, incarnation, owner, number, Optional.empty(), remainingTasks);
  }

  /** The machine does not exist any more. */
  public TransferRecord gone() {
    return new TransferRecord(
        State.GONE, machine, incarnation, owner, number, Optional.empty(), tasksByShard);
  }

  /** None of the shard's tasks can be on it any more. */
  public TransferRecord withoutTasksOf(String shard) {
    Map<String, List<ForeignTask>> remainingTasks = new TreeMap<>(tasksByShard);
    remainingTasks.remove(shard);
    return new TransferRecord(state, machine, incarnation, owner, number, offer, remainingTasks);
  }

  /** True when nothing is left to be settled. */
  public boolean isSettled() {
    return tasksByShard.isEmpty() && offer.isEmpty();
  }

  /** The record as it is stored. */
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
                .put(TAKER, made.to())
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

  /** Reads a stored record. */
  public static TransferRecord parse(String machine, JsonNode data) throws InvalidMessageException {
    State state;
    try {
      state = State.valueOf(data.path(STATE).asText());
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException(
          "the transfer of " + machine + " is in a state that is unknown");
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
                  Json.text(made, TAKER),
                  Json.whole(made, TERM_REVISION, 0, Long.MAX_VALUE),
                  Json.text(made, DIGEST)));
    }
    if (!(data.path(ORIGINATING_SHARDS) instanceof ObjectNode stored)) {
      throw new InvalidMessageException("the transfer of " + machine + " names no homes");
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
        Json.whole(data, INCARNATION, 0, Long.MAX_VALUE),
        Json.text(data, OWNER),
        Json.whole(data, NUMBER, 0, Long.MAX_VALUE),
        offer,
        tasksByShard);
  }
}
