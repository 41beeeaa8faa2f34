package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import plumlever.wire.HttpStatus;
import plumlever.wire.Json;

/**
 * A transaction under construction: its operations are carried out together if all its
 * preconditions hold, or none is. Keys are named as {@link KeySpace} says.
 */
public final class Transaction {
  /** What became of a transaction. */
  public enum Outcome {
    /** Carried out. */
    APPLIED,
    /** A precondition did not hold; nothing was changed. */
    CONFLICT,
    /** Surely not carried out: refused by a limit, an outage or as malformed. */
    REFUSED,
    /** No answer: it may have been carried out, or may be later. */
    UNKNOWN;

    static Outcome ofStatus(int status) {
      return switch (status) {
        case HttpStatus.OK -> APPLIED;
        case HttpStatus.CONFLICT -> CONFLICT;
        case HttpStatus.BAD_REQUEST,
            HttpStatus.PAYLOAD_TOO_LARGE,
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.UNAVAILABLE ->
            REFUSED;
        default -> UNKNOWN;
      };
    }
  }

  /**
   * What became of it.
   *
   * @param status of the answer; 0 without one
   * @param revision of its changes when applied, else -1
   * @param failed keys of preconditions that did not hold, as far as told
   */
  public record Result(Outcome outcome, int status, long revision, List<String> failed) {
    /** True if it surely has been carried out. */
    public boolean applied() {
      return outcome == Outcome.APPLIED;
    }
  }

  private final ObjectNode body = Json.object();
  private final ArrayNode preconditions = body.putArray(StateProtocol.PRECONDITIONS);
  private final ArrayNode operations = body.putArray(StateProtocol.OPERATIONS);
  private boolean attachedToLease;
  private boolean namesAbsolute;

  /**
   * Adds a precondition.
   *
   * @param revision that the key must have; 0: it must not exist
   */
  public Transaction require(String key, long revision) {
    noteKey(key);
    preconditions.addObject().put(StateProtocol.KEY, key).put(StateProtocol.REVISION, revision);
    return this;
  }

  /** Puts a value that stays. */
  public Transaction put(String key, JsonNode data) {
    noteKey(key);
    operations.addObject().put(StateProtocol.PUT, key).set(StateProtocol.VALUE, data);
    return this;
  }

  /** Puts a value that is deleted when the lease ends. */
  public Transaction put(String key, JsonNode data, long leaseId) {
    noteKey(key);
    attachedToLease = true;
    operations
        .addObject()
        .put(StateProtocol.PUT, key)
        .put(StateProtocol.LEASE_ID, leaseId)
        .set(StateProtocol.VALUE, data);
    return this;
  }

  /** Deletes a key, if it is there. */
  public Transaction delete(String key) {
    noteKey(key);
    operations.addObject().put(StateProtocol.DELETE, key);
    return this;
  }

  private void noteKey(String key) {
    namesAbsolute |= KeySpace.isAbsolute(key);
  }

  /** True if a key is named from the root of the state service. */
  boolean namesAbsolute() {
    return namesAbsolute;
  }

  /** True if it puts a key on a lease: such a transaction is malformed once the lease has ended. */
  boolean isAttachedToLease() {
    return attachedToLease;
  }

  /** How many puts and deletes it holds. */
  public int operationCount() {
    return operations.size();
  }

  ObjectNode body() {
    return body;
  }
}
