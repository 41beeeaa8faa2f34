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
 * The stored record of a job that has not ended: the submission and either the ids of the jobs it
 * depends on or the location of its dependency list.
 */
final class ActiveRecord {
  private static final String SPEC = "job";
  private static final String ACCEPTED_MS = "at_ms";
  private static final String DEPENDENCY_LIST = "waits";
  private static final String DIGEST = "digest";
  private static final String PARTS = "parts";

  private ActiveRecord() {}

  /** Builds the active record of a job whose dependencies fit the record itself. */
  static ObjectNode write(JobSpec spec, long acceptedWallMicros) {
    ObjectNode record = Json.object().put(ACCEPTED_MS, acceptedWallMicros / 1_000);
    record.set(SPEC, spec.toJson());
    return record;
  }

  /**
   * Builds the active record of a job whose dependencies are stored in a separate dependency list.
   *
   * @param digest the hash in the keys of the dependency list
   * @param parts the number of records into which the dependency list is split
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

  /** Returns the ids of the dependencies that are stored in the active record itself. */
  static List<String> inlineDependencies(JsonNode activeRecord) {
    List<String> uids = new ArrayList<>();
    dependencies(activeRecord).forEach(uid -> uids.add(uid.asText()));
    return uids;
  }

  private static JsonNode dependencies(JsonNode activeRecord) {
    return activeRecord.path(SPEC).path(ProtocolField.DEPENDENCIES);
  }

  /**
   * Returns the keys of the records that hold the dependency list of the job; empty if the active
   * record holds the dependencies itself.
   */
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
