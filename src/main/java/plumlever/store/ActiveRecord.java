package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/** A job that has not ended, as it is stored: its submission, and where its dependencies are. */
final class ActiveRecord {
  private static final String SPEC = "job";
  private static final String ACCEPTED_MS = "at_ms";
  private static final String DEPENDENCY_LIST = "waits";
  private static final String DIGEST = "digest";
  private static final String PARTS = "parts";

  private ActiveRecord() {}

  /** A record that holds all that the job depends on. */
  static ObjectNode write(JobSpec spec, long acceptedWallMicros) {
    ObjectNode record = Json.object().put(ACCEPTED_MS, acceptedWallMicros / 1_000);
    record.set(SPEC, spec.toJson());
    return record;
  }

  /**
   * A record without the job's dependencies, which are stored beside it.
   *
   * @param digest names their list
   * @param parts of how many values that list is
   */
  static ObjectNode writeWithList(JobSpec spec, long acceptedWallMicros, String digest, int parts) {
    ObjectNode record = write(spec.withDependencies(List.of()), acceptedWallMicros);
    record.putObject(DEPENDENCY_LIST).put(DIGEST, digest).put(PARTS, parts);
    return record;
  }

  /** The submission. */
  static JobSpec spec(JsonNode activeRecord) throws InvalidMessageException {
    if (!(activeRecord.get(SPEC) instanceof ObjectNode object)) {
      throw new InvalidMessageException("the record holds no job");
    }
    return JobSpec.parse(object);
  }

  static long acceptedWallMicros(JsonNode activeRecord) {
    return activeRecord.path(ACCEPTED_MS).asLong() * 1_000;
  }

  /** True if the job depends on others. */
  static boolean hasDependencies(JsonNode activeRecord) {
    return activeRecord.has(DEPENDENCY_LIST) || !dependencies(activeRecord).isEmpty();
  }

  /** What the job depends on, where its own record holds that. */
  static List<String> dependenciesInline(JsonNode activeRecord) {
    List<String> uids = new ArrayList<>();
    dependencies(activeRecord).forEach(uid -> uids.add(uid.asText()));
    return uids;
  }

  private static JsonNode dependencies(JsonNode activeRecord) {
    return activeRecord.path(SPEC).path(ProtocolField.DEPENDENCIES);
  }

  /** The keys that hold what the job depends on, besides its own record. */
  static List<String> dependenciesKeys(String uid, JsonNode activeRecord) {
    JsonNode list = activeRecord.path(DEPENDENCY_LIST);
    String prefix = DependencyListRecords.prefix(uid, list.path(DIGEST).asText());
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < list.path(PARTS).asInt(); i++) {
      keys.add(prefix + i);
    }
    return keys;
  }
}
