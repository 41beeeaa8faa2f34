package plumlever.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.Json;

/**
 * Rewrites the stored records as a leader of the previous version would have left them. That
 * version ignores the limits that were added later, fills records shared by several jobs or
 * machines up to the current size limit, and drops every field that it does not know.
 */
final class PreviousVersion {
  private final FakeStore store;
  private final int valueBytes;

  PreviousVersion(FakeStore store, int valueBytes) {
    this.store = store;
    this.valueBytes = valueBytes;
  }

  /** Rewrites the records as a leader of the previous version does in its term. */
  void rewriteRecords() {
    rewriteStartedJobs();
    rewriteMachines();
    rewriteSharedChunks();
    Map<String, JsonNode> ended = new LinkedHashMap<>();
    store
        .entries("ended/")
        .forEach((k, v) -> ended.put(k, Json.object().put("s", v.path("s").asText())));
    store.replaceAll("ended/", ended);
  }

  private void rewriteStartedJobs() {
    Map<String, JsonNode> records = new LinkedHashMap<>();
    ArrayNode jobs = null;
    int bytes = 0;
    for (JsonNode stored : store.values("begun/")) {
      for (JsonNode uid : stored.path("jobs")) {
        if (jobs == null || bytes + uid.asText().length() + 3 > valueBytes) {
          ObjectNode object = Json.object();
          jobs = object.putArray("jobs");
          records.put("begun/" + records.size(), object);
          bytes = 32;
        }
        jobs.add(uid.asText());
        bytes += uid.asText().length() + 3;
      }
    }
    store.replaceAll("begun/", records);
  }

  private void rewriteMachines() {
    Map<String, JsonNode> records = new LinkedHashMap<>();
    ArrayNode kinds = null;
    ArrayNode machines = null;
    Map<String, Integer> numbers = new LinkedHashMap<>();
    int bytes = 0;
    for (JsonNode stored : store.values("fleet/")) {
      for (JsonNode machine : stored.path("hosts")) {
        int entryBytes = machine.path(0).asText().length() + machine.path(1).asText().length() + 11;
        if (machines == null || bytes + entryBytes > valueBytes) {
          ObjectNode object = Json.object();
          kinds = object.putArray("kinds");
          machines = object.putArray("hosts");
          numbers = new LinkedHashMap<>();
          records.put("fleet/" + records.size(), object);
          bytes = 500;
        }
        JsonNode kind = stored.path("kinds").path(machine.path(2).asInt());
        ArrayNode into = kinds;
        int number =
            numbers.computeIfAbsent(
                kind.toString(),
                k -> {
                  into.add(kind);
                  return into.size() - 1;
                });
        machines.addArray().add(machine.path(0)).add(machine.path(1)).add(number);
        bytes += entryBytes;
      }
    }
    store.replaceAll("fleet/", records);
  }

  /**
   * Rewrites the shared chunks of progress records, which hold the progress of several jobs each
   * and are stored under {@code progress/pack/}. The shared chunks are filled up to the value limit
   * and numbered from 0. Chunks of single jobs stay unchanged, because the previous version can't
   * read them.
   */
  private void rewriteSharedChunks() {
    Map<String, JsonNode> records = new LinkedHashMap<>();
    Map<String, JsonNode> chunks = new LinkedHashMap<>();
    ObjectNode sharedChunk = null;
    int bytes = 0;
    for (Map.Entry<String, JsonNode> entry : store.entries("progress/").entrySet()) {
      if (!entry.getKey().startsWith("progress/pack/")) {
        chunks.put(entry.getKey(), entry.getValue());
        continue;
      }
      for (Map.Entry<String, JsonNode> progressOfJob : entry.getValue().path("p").properties()) {
        int entryBytes =
            progressOfJob.getKey().length() + 8 + progressOfJob.getValue().asText().length();
        if (sharedChunk == null || bytes + entryBytes > valueBytes - 32) {
          ObjectNode object = Json.object();
          sharedChunk = object.putObject("p");
          records.put("progress/pack/" + records.size(), object);
          bytes = 0;
        }
        sharedChunk.set(progressOfJob.getKey(), progressOfJob.getValue());
        bytes += entryBytes;
      }
    }
    records.putAll(chunks);
    store.replaceAll("progress/", records);
  }

  /**
   * Returns, by job id, the completed tasks that the previous version would read from the stored
   * progress records.
   */
  static Map<String, BitSet> readProgress(FakeStore store, int valueBytes) {
    Map<String, BitSet> records = new LinkedHashMap<>();
    // Number of tasks in one chunk: one bit for each task, stored as base64; 64 bytes are reserved
    // for the rest of the value.
    int perChunk = (valueBytes - 64) / 4 * 3 * 8;
    store
        .entries("progress/")
        .forEach(
            (k, v) -> {
              try {
                if (k.startsWith("progress/pack/")) {
                  for (Map.Entry<String, JsonNode> progressOfJob : v.path("p").properties()) {
                    records
                        .computeIfAbsent(progressOfJob.getKey(), u -> new BitSet())
                        .or(BitSet.valueOf(progressOfJob.getValue().binaryValue()));
                  }
                  return;
                }
                String rest = k.substring("progress/".length());
                int slash = rest.lastIndexOf('/');
                int from = Integer.parseInt(rest.substring(slash + 1)) * perChunk;
                BitSet into = records.computeIfAbsent(rest.substring(0, slash), u -> new BitSet());
                BitSet.valueOf(v.path("b").binaryValue()).stream().forEach(i -> into.set(from + i));
              } catch (NumberFormatException e) {
                // The previous version logs the malformed key and assumes that no task is
                // completed.
              } catch (java.io.IOException e) {
                throw new AssertionError(e);
              }
            });
    return records;
  }
}
