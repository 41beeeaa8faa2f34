package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import plumlever.wire.Json;

/**
 * The demand for machines and cores that a shard's leader publishes to the other shards. The record
 * is advisory: no correctness depends on it.
 *
 * @param machines number of machines that the shard owns, up or booting
 * @param idle number of these machines that are idle; 0 while the shard has a shortage
 * @param wanted number of machines that the shard is short of
 * @param digest digest of the shard's sharing file
 * @param coresWanted by team, the cores that the shard needs beyond its part of the team's limit
 */
public record ShardDemand(
    int machines, int idle, int wanted, String digest, Map<String, Double> coresWanted) {
  private static final String PREFIX = "/pool/demand/";

  /** Returns the key of the shard's demand record. */
  public static String keyOf(String shard) {
    return PREFIX + shard;
  }

  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  static String shardOf(String key) {
    return key.substring(PREFIX.length());
  }

  /** Returns the stored form of the demand record. */
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

  /** Parses a stored demand record; missing fields are read as 0 or empty. */
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
