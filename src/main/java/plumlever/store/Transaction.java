package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import plumlever.wire.HttpStatus;
import plumlever.wire.Json;

/**
 * A transaction under construction. Its operations are applied atomically if all of its
 * preconditions hold; otherwise none is applied. Keys are named as described in {@link KeySpace}.
 */
public final class Transaction {
  /** The outcome of a transaction. */
  public enum Outcome {
    /** All operations were applied. */
    APPLIED,
    /** A precondition did not hold; nothing was changed. */
    CONFLICT,
    /**
     * Not applied, now or later: the transaction was refused because of a limit, an outage or a
     * malformed request.
     */
    REFUSED,
    /** No response: the transaction may have been applied, or may still be applied later. */
    UNKNOWN;

    static Outcome ofStatus(int status) {
      return switch (status) {
        case HttpStatus.OK -> APPLIED;
        case HttpStatus.CONFLICT -> CONFLICT;
        case HttpStatus.BAD_REQUEST,
            HttpStatus.PAYLOAD_TOO_LARGE,
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.SERVICE_UNAVAILABLE ->
            REFUSED;
        default -> UNKNOWN;
      };
    }
  }

  /**
   * The result of a transaction.
   *
   * @param status the status of the response; 0 if no response arrived
   * @param revision the revision of the changes if the transaction was applied, otherwise -1
   * @param failedKeys the keys whose preconditions did not hold; the list may be incomplete
   */
  public record Result(Outcome outcome, int status, long revision, List<String> failedKeys) {
    /** Returns true if the transaction is known to have been applied. */
    public boolean applied() {
      return outcome == Outcome.APPLIED;
    }
  }

  private final ObjectNode body = Json.object();
  private final ArrayNode preconditions = body.putArray(StateProtocol.PRECONDITIONS);
  private final ArrayNode operations = body.putArray(StateProtocol.OPERATIONS);
  private boolean attachedToLease;
  private boolean hasAbsoluteKey;

  /**
   * Adds the precondition that the key has a certain revision.
   *
   * @param revision the revision that the key must have; 0 if the key must not exist
   */
  public Transaction require(String key, long revision) {
    trackAbsoluteKey(key);
    preconditions.addObject().put(StateProtocol.KEY, key).put(StateProtocol.REVISION, revision);
    return this;
  }

  /** Adds an operation that puts a value not attached to a lease. */
  public Transaction put(String key, JsonNode data) {
    trackAbsoluteKey(key);
    operations.addObject().put(StateProtocol.PUT, key).set(StateProtocol.VALUE, data);
    return this;
  }

  /**
   * Adds an operation that puts a value attached to a lease; the key is deleted when the lease
   * ends.
   */
  public Transaction put(String key, JsonNode data, long leaseId) {
    trackAbsoluteKey(key);
    attachedToLease = true;
    operations
        .addObject()
        .put(StateProtocol.PUT, key)
        .put(StateProtocol.LEASE_ID, leaseId)
        .set(StateProtocol.VALUE, data);
    return this;
  }

  /** Adds an operation that deletes a key if it exists. */
  public Transaction delete(String key) {
    trackAbsoluteKey(key);
    operations.addObject().put(StateProtocol.DELETE, key);
    return this;
  }

  private void trackAbsoluteKey(String key) {
    hasAbsoluteKey |= KeySpace.isAbsolute(key);
  }

  /**
   * Returns true if a key of the transaction is absolute (begins with a slash), see {@link
   * KeySpace}.
   */
  boolean hasAbsoluteKey() {
    return hasAbsoluteKey;
  }

  /**
   * Returns true if the transaction attaches a key to a lease. Such a transaction is rejected as
   * malformed after the lease has ended.
   */
  boolean isAttachedToLease() {
    return attachedToLease;
  }

  /** Returns the number of puts and deletes in this transaction. */
  public int operationCount() {
    return operations.size();
  }

  ObjectNode body() {
    return body;
  }
}
