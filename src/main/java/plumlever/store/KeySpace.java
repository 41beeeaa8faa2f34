package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * Where the keys of this controller's records are in the state service: under a prefix, or at the
 * root. A key that begins with a slash is taken from the root whatever the prefix, without that
 * slash; it is how records are named that shards share.
 */
public final class KeySpace {
  /** Keys as they are. */
  public static final KeySpace ROOT = new KeySpace("");

  private static final String ABSOLUTE = "/";

  private final String prefix;

  private KeySpace(String prefix) {
    this.prefix = prefix;
  }

  /** Keys under this prefix, which ends with a slash or is empty. */
  public static KeySpace under(String prefix) {
    return prefix.isEmpty() ? ROOT : new KeySpace(prefix);
  }

  /** The key of another key space, by that one's prefix. */
  public static String absolute(String prefix, String key) {
    return ABSOLUTE + prefix + key;
  }

  /** True if the key is named from the root, whatever the prefix. */
  static boolean isAbsolute(String key) {
    return key.startsWith(ABSOLUTE);
  }

  /** The key as it is stored. */
  String toStored(String key) {
    return isAbsolute(key) ? key.substring(1) : prefix + key;
  }

  /**
   * The name of a stored key as whoever asked for it knows it.
   *
   * @param asked the key or prefix that was asked for
   */
  String fromStored(String stored, String asked) {
    return isAbsolute(asked) ? ABSOLUTE + stored : stored.substring(prefix.length());
  }

  /** The name of a stored key as a transaction named it. */
  String fromStored(String stored) {
    if (isRoot()) {
      return stored;
    }
    return stored.startsWith(prefix) ? stored.substring(prefix.length()) : ABSOLUTE + stored;
  }

  boolean isRoot() {
    return prefix.isEmpty();
  }

  /** The body of a transaction with all keys as they are stored. */
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
