package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/**
 * The stored record of a job that has not ended: the submission and the location of its
 * dependencies.
 */
final class ActiveRecord {
  private static final String SPEC = "job";
  private static final String ACCEPTED_MS = "at_ms";
  private static final String DEPENDENCY_LIST = "waits";
  private static final String DIGEST = "digest";
  private static final String PARTS = "parts";

  private ActiveRecord() {}

  /** Builds a record that holds the dependencies of the job inline. */
  static ObjectNode write(JobSpec spec, long acceptedWallMicros) {
    ObjectNode record = Json.object().put(ACCEPTED_MS, acceptedWallMicros / 1_000);
    record.set(SPEC, spec.toJson());
    return record;
  }

  /**
   * Builds a record without the dependencies of the job, which are stored in a separate list.
   *
   * @param digest the digest in the keys of the list
   * @param parts the number of values that the list consists of
   */
  static ObjectNode writeWithList(JobSpec spec, long acceptedWallMicros, String digest, int parts) {
    ObjectNode record = write(spec.withDependencies(List.of()), acceptedWallMicros);
    record.putObject(DEPENDENCY_LIST).put(DIGEST, digest).put(PARTS, parts);
    return record;
  }

  static JobSpec spec(JsonNode activeRecord) throws InvalidMessageException {
    if (!(activeRecord.get(SPEC) instanceof ObjectNode object)) {
      throw new InvalidMessageException("active record: field 'job' is missing or not an object");
    }
    return JobSpec.parse(object);
  }

  static long acceptedWallMicros(JsonNode activeRecord) {
    return activeRecord.path(ACCEPTED_MS).asLong() * 1_000;
  }

  /** Returns true if the job depends on other jobs. */
  static boolean hasDependencies(JsonNode activeRecord) {
    return activeRecord.has(DEPENDENCY_LIST) || !dependencies(activeRecord).isEmpty();
  }

  /** Returns the dependencies that the record holds inline. */
  static List<String> inlineDependencies(JsonNode activeRecord) {
    List<String> uids = new ArrayList<>();
    dependencies(activeRecord).forEach(uid -> uids.add(uid.asText()));
    return uids;
  }

  private static JsonNode dependencies(JsonNode activeRecord) {
    return activeRecord.path(SPEC).path(ProtocolField.DEPENDENCIES);
  }

  /** Returns the keys of the dependency list parts; empty if the dependencies are stored inline. */
  static List<String> dependencyListKeys(String uid, JsonNode activeRecord) {
    JsonNode list = activeRecord.path(DEPENDENCY_LIST);
    String prefix = DependencyListRecords.prefix(uid, list.path(DIGEST).asText());
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < list.path(PARTS).asInt(); i++) {
      keys.add(prefix + i);
    }
    return keys;
  }
}
