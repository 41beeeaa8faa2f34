package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import plumlever.wire.Json;

/**
 * What a shard's leader tells the others of its share: advice, on which no rule rests.
 *
 * @param machines that it owns, up or booting
 * @param idle of these, machines that it can do without
 * @param wanted machines that it lacks for what waits
 * @param digest of its sharing file
 * @param coresWanted by team, room under its part of the team's limit that it lacks
 */
public record ShardDemand(
    int machines, int idle, int wanted, String digest, Map<String, Double> coresWanted) {
  private static final String PREFIX = "/pool/demand/";

  /** The key of the shard's record. */
  public static String keyOf(String shard) {
    return PREFIX + shard;
  }

  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  static String shardOf(String key) {
    return key.substring(PREFIX.length());
  }

  /** The record as it is stored. */
  public ObjectNode toJson() {
    ObjectNode object =
        Json.object()
            .put("machines", machines)
            .put("idle", idle)
            .put("wanted", wanted)
            .put("digest", digest);
    ObjectNode teams = object.putObject("cores_wanted");
    coresWanted.forEach(teams::put);
    return object;
  }

  /** Reads a stored record; what is missing counts as nothing. */
  static ShardDemand parse(JsonNode data) {
    Map<String, Double> teams = new TreeMap<>();
    data.path("cores_wanted")
        .properties()
        .forEach(entry -> teams.put(entry.getKey(), entry.getValue().asDouble()));
    return new ShardDemand(
        data.path("machines").asInt(),
        data.path("idle").asInt(),
        data.path("wanted").asInt(),
        data.path("digest").asText(),
        teams);
  }
}
