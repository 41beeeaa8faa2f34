package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import plumlever.wire.Json;

/**
 * One team's limit, split into one part per shard. No shard may use more than its part, and the sum
 * of the parts never exceeds the limit. Immutable.
 *
 * @param byShard the part of each shard
 */
public record LimitParts(Map<String, Part> byShard) {
  /** The cores and accelerators of a team's limit that one shard may use. */
  public record Part(double cores, double accelerators) {
    /** A part without cores and accelerators. */
    public static final Part NONE = new Part(0, 0);
  }

  private static final String PREFIX = "/pool/limits/";

  /** Returns the key of the record that holds the parts of the team's limit. */
  public static String keyOf(String team) {
    return PREFIX + team;
  }

  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  static String teamOf(String key) {
    return key.substring(PREFIX.length());
  }

  /**
   * Splits a limit by the shards' weights into whole cores and accelerators. The first shard in the
   * order of the map receives the remainder.
   */
  public static LimitParts split(
      double cores, double accelerators, Map<String, Double> weightByShard) {
    double totalWeight = weightByShard.values().stream().mapToDouble(Double::doubleValue).sum();
    Map<String, Part> parts = new TreeMap<>();
    double coresLeft = cores;
    double acceleratorsLeft = accelerators;
    for (Map.Entry<String, Double> entry : weightByShard.entrySet()) {
      Part part =
          new Part(
              Math.floor(cores * entry.getValue() / totalWeight),
              Math.floor(accelerators * entry.getValue() / totalWeight));
      coresLeft -= part.cores();
      acceleratorsLeft -= part.accelerators();
      parts.put(entry.getKey(), part);
    }
    String first = weightByShard.keySet().iterator().next();
    Part part = parts.get(first);
    parts.put(first, new Part(part.cores() + coresLeft, part.accelerators() + acceleratorsLeft));
    return new LimitParts(parts);
  }

  /** Returns the shard's part of the team's limit; {@link Part#NONE} if the shard has no part. */
  public Part of(String shard) {
    return byShard.getOrDefault(shard, Part.NONE);
  }

  /** Returns the parts after moving cores and accelerators from one shard to another. */
  public LimitParts moved(String from, String to, double cores, double accelerators) {
    Part source = of(from);
    Part target = of(to);
    if (cores > source.cores() || accelerators > source.accelerators()) {
      throw new IllegalArgumentException(
          from + " can't move more cores or accelerators than its part of the limit");
    }
    Map<String, Part> parts = new TreeMap<>(byShard);
    parts.put(from, new Part(source.cores() - cores, source.accelerators() - accelerators));
    parts.put(to, new Part(target.cores() + cores, target.accelerators() + accelerators));
    return new LimitParts(parts);
  }

  /** Returns the stored form of the parts of the team's limit. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    ObjectNode parts = object.putObject("parts");
    byShard.forEach(
        (shard, part) -> parts.putArray(shard).add(part.cores()).add(part.accelerators()));
    return object;
  }

  /** Parses the stored parts of a team's limit. */
  static LimitParts parse(JsonNode data) {
    Map<String, Part> parts = new TreeMap<>();
    data.path("parts")
        .properties()
        .forEach(
            entry ->
                parts.put(
                    entry.getKey(),
                    new Part(
                        entry.getValue().path(0).asDouble(), entry.getValue().path(1).asDouble())));
    return new LimitParts(parts);
  }
}
