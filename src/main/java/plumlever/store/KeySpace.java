package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * Maps the keys used in this controller to the keys under which the state service stores records,
 * by adding the prefix of this controller's shard. A key that begins with a slash is absolute: the
 * slash is removed and no prefix is added. Absolute keys name records that the shards of a pool
 * share.
 */
public final class KeySpace {
  /** The key space without a prefix. */
  public static final KeySpace ROOT = new KeySpace("");

  private static final String ABSOLUTE_PREFIX = "/";

  private final String prefix;

  private KeySpace(String prefix) {
    this.prefix = prefix;
  }

  /**
   * Returns the key space whose keys are stored under this prefix. The prefix ends with a slash or
   * is empty.
   */
  public static KeySpace under(String prefix) {
    return prefix.isEmpty() ? ROOT : new KeySpace(prefix);
  }

  /**
   * Returns the absolute form (with a leading slash) of a key in the key space with this prefix.
   */
  public static String absolute(String prefix, String key) {
    return ABSOLUTE_PREFIX + prefix + key;
  }

  /** Returns true if the key begins with a slash, so that no prefix is added to it. */
  static boolean isAbsolute(String key) {
    return key.startsWith(ABSOLUTE_PREFIX);
  }

  /**
   * Returns the key under which the state service stores this key: with the prefix added, or
   * without the leading slash if the key is absolute.
   */
  String toStored(String key) {
    return isAbsolute(key) ? key.substring(1) : prefix + key;
  }

  /**
   * Converts a key under which the state service stores a record back to the form that the request
   * used (prefix removed, or leading slash added).
   *
   * @param requestedKey the key or prefix of the request
   */
  String fromStored(String stored, String requestedKey) {
    return isAbsolute(requestedKey) ? ABSOLUTE_PREFIX + stored : stored.substring(prefix.length());
  }

  /**
   * Converts a key under which the state service stores a record back to the form used in a
   * transaction (prefix removed, or leading slash added).
   */
  String fromStored(String stored) {
    if (isRoot()) {
      return stored;
    }
    return stored.startsWith(prefix) ? stored.substring(prefix.length()) : ABSOLUTE_PREFIX + stored;
  }

  boolean isRoot() {
    return prefix.isEmpty();
  }

  /**
   * Returns a copy of a transaction's body with every key replaced by the key under which the state
   * service stores it (prefix added, or leading slash removed).
   */
  ObjectNode toStored(ObjectNode body) {
    ObjectNode stored = Json.object();
    ArrayNode preconditions = stored.putArray(StateProtocol.PRECONDITIONS);
    for (JsonNode precondition : body.path(StateProtocol.PRECONDITIONS)) {
      preconditions.add(withStoredKey(precondition, StateProtocol.KEY));
    }
    ArrayNode operations = stored.putArray(StateProtocol.OPERATIONS);
    for (JsonNode operation : body.path(StateProtocol.OPERATIONS)) {
      operations.add(
          withStoredKey(
              operation,
              operation.has(StateProtocol.PUT) ? StateProtocol.PUT : StateProtocol.DELETE));
    }
    return stored;
  }

  private ObjectNode withStoredKey(JsonNode node, String keyField) {
    ObjectNode copy = Json.object();
    node.properties().forEach(entry -> copy.set(entry.getKey(), entry.getValue()));
    return copy.put(keyField, toStored(node.get(keyField).asText()));
  }
}
