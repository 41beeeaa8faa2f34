package plumlever.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.Json;

/**
 * Rewrites the stored records as a leader of the previous version would have left them. The
 * previous version knows no limits that were added later, fills shared values up to the current
 * size limit, and drops every field that it does not know.
 */
final class FormerVersion {
  private final FakeStore store;
  private final int valueBytes;

  FormerVersion(FakeStore store, int valueBytes) {
    this.store = store;
    this.valueBytes = valueBytes;
  }

  /** Rewrites the records as a leader of the previous version does in its term. */
  void leads() {
    begun();
    fleet();
    sharedChunks();
    Map<String, JsonNode> ended = new LinkedHashMap<>();
    store
        .entries("ended/")
        .forEach((k, v) -> ended.put(k, Json.object().put("s", v.path("s").asText())));
    store.rewrite("ended/", ended);
  }

  private void begun() {
    Map<String, JsonNode> out = new LinkedHashMap<>();
    ArrayNode jobs = null;
    int bytes = 0;
    for (JsonNode stored : store.values("begun/")) {
      for (JsonNode uid : stored.path("jobs")) {
        if (jobs == null || bytes + uid.asText().length() + 3 > valueBytes) {
          ObjectNode object = Json.object();
          jobs = object.putArray("jobs");
          out.put("begun/" + out.size(), object);
          bytes = 32;
        }
        jobs.add(uid.asText());
        bytes += uid.asText().length() + 3;
      }
    }
    store.rewrite("begun/", out);
  }

  private void fleet() {
    Map<String, JsonNode> out = new LinkedHashMap<>();
    ArrayNode kinds = null;
    ArrayNode machineIds = null;
    Map<String, Integer> numbers = new LinkedHashMap<>();
    int bytes = 0;
    for (JsonNode stored : store.values("fleet/")) {
      for (JsonNode machineId : stored.path("hosts")) {
        int more = machineId.path(0).asText().length() + machineId.path(1).asText().length() + 11;
        if (machineIds == null || bytes + more > valueBytes) {
          ObjectNode object = Json.object();
          kinds = object.putArray("kinds");
          machineIds = object.putArray("hosts");
          numbers = new LinkedHashMap<>();
          out.put("fleet/" + out.size(), object);
          bytes = 500;
        }
        JsonNode kind = stored.path("kinds").path(machineId.path(2).asInt());
        ArrayNode into = kinds;
        int number =
            numbers.computeIfAbsent(
                kind.toString(),
                k -> {
                  into.add(kind);
                  return into.size() - 1;
                });
        machineIds.addArray().add(machineId.path(0)).add(machineId.path(1)).add(number);
        bytes += more;
      }
    }
    store.rewrite("fleet/", out);
  }

  /**
   * Rewrites the shared chunks of progress records, which are stored under {@code progress/pack/}.
   * The shared chunks are filled up to the value limit and numbered from 0. Chunks of single jobs
   * stay unchanged, because the previous version can't read them.
   */
  private void sharedChunks() {
    Map<String, JsonNode> out = new LinkedHashMap<>();
    Map<String, JsonNode> chunks = new LinkedHashMap<>();
    ObjectNode sharedChunk = null;
    int bytes = 0;
    for (Map.Entry<String, JsonNode> entry : store.entries("progress/").entrySet()) {
      if (!entry.getKey().startsWith("progress/pack/")) {
        chunks.put(entry.getKey(), entry.getValue());
        continue;
      }
      for (Map.Entry<String, JsonNode> packed : entry.getValue().path("p").properties()) {
        int more = packed.getKey().length() + 8 + packed.getValue().asText().length();
        if (sharedChunk == null || bytes + more > valueBytes - 32) {
          ObjectNode object = Json.object();
          sharedChunk = object.putObject("p");
          out.put("progress/pack/" + out.size(), object);
          bytes = 0;
        }
        sharedChunk.set(packed.getKey(), packed.getValue());
        bytes += more;
      }
    }
    out.putAll(chunks);
    store.rewrite("progress/", out);
  }

  /** Returns the finished tasks of each job as the previous version would read them. */
  static Map<String, BitSet> progressItReads(FakeStore store, int valueBytes) {
    Map<String, BitSet> out = new LinkedHashMap<>();
    int perChunk = (valueBytes - 64) / 4 * 3 * 8;
    store
        .entries("progress/")
        .forEach(
            (k, v) -> {
              try {
                if (k.startsWith("progress/pack/")) {
                  for (Map.Entry<String, JsonNode> packed : v.path("p").properties()) {
                    out.computeIfAbsent(packed.getKey(), u -> new BitSet())
                        .or(BitSet.valueOf(packed.getValue().binaryValue()));
                  }
                  return;
                }
                String rest = k.substring("progress/".length());
                int slash = rest.lastIndexOf('/');
                int from = Integer.parseInt(rest.substring(slash + 1)) * perChunk;
                BitSet into = out.computeIfAbsent(rest.substring(0, slash), u -> new BitSet());
                BitSet.valueOf(v.path("b").binaryValue()).stream().forEach(i -> into.set(from + i));
              } catch (NumberFormatException e) {
                // The previous version logs the malformed key and assumes no progress.
              } catch (java.io.IOException e) {
                throw new AssertionError(e);
              }
            });
    return out;
  }
}
