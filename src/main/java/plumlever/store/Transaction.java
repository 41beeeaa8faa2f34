package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import plumlever.wire.Json;

/** A transaction with preconditions under construction. */
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
    UNKNOWN
  }

  /**
   * What became of it.
   *
   * @param status of the answer; 0 without one
   * @param storeRevision the revision of its changes when applied, else -1
   * @param failed keys of preconditions that did not hold, as far as told
   */
  public record Result(Outcome outcome, int status, long revision, List<String> failed) {
    public boolean applied() {
      return outcome == Outcome.APPLIED;
    }
  }

  private final ObjectNode body = Json.object();
  private final ArrayNode preconditions = body.putArray(StateProtocol.PRECONDITIONS);
  private final ArrayNode operations = body.putArray(StateProtocol.OPERATIONS);
  private boolean leased;
  private boolean absolute;

  /**
   * @param revision 0: the key must not exist
   */
  public Transaction require(String key, long revision) {
    absolute |= key.charAt(0) == '/';
    preconditions.addObject().put(StateProtocol.KEY, key).put(StateProtocol.REVISION, revision);
    return this;
  }

  /** Puts a value that stays. */
  public Transaction put(String key, JsonNode data) {
    absolute |= key.charAt(0) == '/';
    operations.addObject().put(StateProtocol.PUT, key).set(StateProtocol.VALUE, data);
    return this;
  }

  /** Puts a value that is deleted when the lease ends. */
  public Transaction put(String key, JsonNode data, long leaseId) {
    leased = true;
    absolute |= key.charAt(0) == '/';
    ObjectNode object =
        operations.addObject().put(StateProtocol.PUT, key).put(StateProtocol.LEASE_ID, leaseId);
    object.set(StateProtocol.VALUE, data);
    return this;
  }

  /** True if a key is named from the root of the state service. */
  boolean namesAbsolute() {
    return absolute;
  }

  /** True if it puts a key on a lease: such a transaction is malformed once the lease has ended. */
  boolean isAttachedToLease() {
    return leased;
  }

  /** Removes a key, if it is there. */
  public Transaction delete(String key) {
    absolute |= key.charAt(0) == '/';
    operations.addObject().put(StateProtocol.DELETE, key);
    return this;
  }

  public int operationCount() {
    return operations.size();
  }

  ObjectNode body() {
    return body;
  }
}
