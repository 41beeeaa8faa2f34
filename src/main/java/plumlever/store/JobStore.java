package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;
import plumlever.wire.Json;

/**
 * The layout of the records in the state service.
 *
 * <ul>
 *   <li>{@code active/ID}: the submission, while the job has not ended. Accepting a job is this one
 *       change.
 *   <li>{@code ended/ID}: how it ended, kept for ever; written in the transaction that drops the
 *       one above. So a new leader reads only what is left to do, and a poll of a job reads one
 *       key, or two after its end.
 *   <li>{@code progress/ID/from-TASK}: bitmap of finished tasks of a large job, from that task on;
 *       {@code progress/shared chunk/N}: those of many small ones, since changes are what the state
 *       service has least of. Earlier versions wrote {@code progress/ID/CHUNK}, cut up by the
 *       largest value of their settings, which is read and not written any more; they pass over the
 *       present form, for they would take its bits for those of other tasks.
 *   <li>{@code waits/ID/DIGEST/N}: the names that a job waits on, where they do not fit its record;
 *       written before it.
 *   <li>{@code fleet/N}: machines that may hold tasks, as many as fit one value. A machine is in
 *       one of them before anything is ordered from it, so a new leader knows every machine that
 *       could run something, however far the cloud's list lags.
 *   <li>{@code begun/N}: jobs that a leader may have ordered something of, as many as fit one
 *       value. A job is in one of them before its first order, so what a new leader does not find
 *       there is on no machine.
 *   <li>{@code hints/N}: what a leader learnt of images and estimates, for its successor.
 *   <li>{@code catalog}: the last machine types read, for a controller that starts while the cloud
 *       is down.
 * </ul>
 */
public final class JobStore {
  public static final String ACTIVE = "active/";
  public static final String PROGRESS = "progress/";
  public static final String FLEET = "fleet/";
  public static final String STARTED = "begun/";
  public static final String CATALOG = "catalog";
  public static final String WARM_STATE = "hints/";
  public static final String ENDED = "ended/";
  private static final String SHARED_CHUNK = PROGRESS + "pack/";
  private static final String SHARED = "p";
  private static final String STATE = "s";
  private static final String SPEC = "job";
  private static final String ACCEPTED_MS = "at_ms";
  private static final String BITS = "b";
  private static final String FIRST = "f";
  private static final String FROM = "from-";

  /** Lists of names that do not fit their jobs' records. */
  public static final String DEPENDENCIES = "waits/";

  private static final String DEPENDENCIES_AT = "waits";
  private static final String DIGEST = "digest";
  private static final String PARTS = "parts";
  private static final String NAMES = "names";
  private static final String ENDED_MS = "at_ms";

  /** What the JSON round a list of names takes. */
  private static final int NAMES_BASE_BYTES = 32;

  private static final int DIGEST_LETTERS = 24;

  /** Base64 makes so many letters of so many bytes. */
  private static final int BASE64_LETTERS = 4;

  private static final int BASE64_BYTES = 3;
  private static final int TASKS_IN_LETTERS = BASE64_BYTES * Byte.SIZE;

  /** What the JSON round a chunk, a shared chunk and an entry of one takes. */
  private static final int CHUNK_BASE_BYTES = 64;

  private static final int SHARED_CHUNK_BASE_BYTES = 32;
  private static final int SHARED_ENTRY_BYTES = 8;

  private final WriteLimits limits;
  private final List<String> otherCells;
  private final int statedValueBytes;

  public JobStore(WriteLimits limits) {
    this(limits, List.of());
  }

  /**
   * @param otherCells prefixes of other cells' keys, in none of which a job may be that is accepted
   */
  public JobStore(WriteLimits limits, List<String> otherCells) {
    this.otherCells = otherCells;
    this.limits = limits;
    this.statedValueBytes = limits.maxValueBytes();
  }

  public WriteLimits limits() {
    return limits;
  }

  public int valueBytes() {
    return limits.maxValueBytes();
  }

  public static String endedKey(String uid) {
    return ENDED + uid;
  }

  public static String activeKey(String uid) {
    return ACTIVE + uid;
  }

  public static String machinesKey(int progressChunk) {
    return FLEET + progressChunk;
  }

  public static String startedKey(int progressChunk) {
    return STARTED + progressChunk;
  }

  public static String warmStateKey(int part) {
    return WARM_STATE + part;
  }

  /** Number of a record that entries share, or -1. */
  public static int sharedRecordNumber(String key) {
    try {
      return Integer.parseInt(key.substring(key.indexOf('/') + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** The record of the tasks from this one on. */
  public static String progressKey(String uid, int firstTask) {
    return PROGRESS + uid + "/" + FROM + firstTask;
  }

  public static String sharedChunkKey(int sharedChunk) {
    return SHARED_CHUNK + sharedChunk;
  }

  /** Number of the shared chunk, or -1 for any other key. */
  public static int sharedChunkOf(String key) {
    if (!key.startsWith(SHARED_CHUNK)) {
      return -1;
    }
    try {
      return Integer.parseInt(key, SHARED_CHUNK.length(), key.length(), 10);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /**
   * How a job is accepted.
   *
   * @param parts what has to be stored before the transaction, by key: the names that it depends
   *     on, if they do not fit; the anchor of the list first
   * @param transaction creates the job's record
   */
  public record Acceptance(Map<String, ObjectNode> parts, Transaction transaction) {
    /** True if the names that the job depends on have to be stored first. */
    public boolean hasList() {
      return !parts.isEmpty();
    }

    /** The key of the first part. */
    String anchor() {
      return parts.keySet().iterator().next();
    }

    /** The transaction, which fails if the list has been removed since its anchor was seen. */
    public Transaction anchoredAt(long anchorRevision) {
      return transaction.require(anchor(), anchorRevision);
    }
  }

  /** Null when the record is too long to store, whatever it waits on. */
  public Acceptance acceptJob(JobSpec spec, long wallMicros) {
    ObjectNode active = Json.object().put(ACCEPTED_MS, wallMicros / 1_000);
    active.set(SPEC, spec.toJson());
    Map<String, ObjectNode> parts = Map.of();
    if (spec.hasDependencies() && bytes(active) > valueBytes()) {
      active.set(SPEC, spec.withDependencies(List.of()).toJson());
      String digest = digest(spec.dependencies());
      parts = parts(dependenciesKey(spec.uid(), digest), spec.dependencies());
      active.putObject(DEPENDENCIES_AT).put(DIGEST, digest).put(PARTS, parts.size());
    }
    if (bytes(active) > statedValueBytes) {
      return null;
    }
    Transaction transaction =
        new Transaction()
            .require(activeKey(spec.uid()), 0)
            .require(endedKey(spec.uid()), 0)
            .put(activeKey(spec.uid()), active);
    for (String prefix : otherCells) {
      transaction
          .require(KeySpace.absolute(prefix, activeKey(spec.uid())), 0)
          .require(KeySpace.absolute(prefix, endedKey(spec.uid())), 0);
    }
    return new Acceptance(parts, transaction);
  }

  private static int bytes(JsonNode value) {
    return Json.write(value).getBytes(StandardCharsets.UTF_8).length;
  }

  private static String dependenciesKey(String uid, String digest) {
    return DEPENDENCIES + uid + "/" + digest + "/";
  }

  /**
   * Names the list, and how it is cut up: whoever stores the same list the same way stores the same
   * values.
   */
  private String digest(List<String> names) {
    return Hashing.sha256()
        .hashString(valueBytes() + " " + String.join(" ", names), StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_LETTERS);
  }

  private Map<String, ObjectNode> parts(String prefix, List<String> names) {
    Map<String, ObjectNode> parts = new LinkedHashMap<>();
    ArrayNode part = null;
    int bytes = 0;
    for (String name : names) {
      if (part == null || bytes + name.length() + 3 > valueBytes()) {
        ObjectNode value = Json.object();
        part = value.putArray(NAMES);
        parts.put(prefix + parts.size(), value);
        bytes = NAMES_BASE_BYTES;
      }
      part.add(name);
      bytes += name.length() + 3;
    }
    return parts;
  }

  /** True if the job waits on others. */
  static boolean hasDependencies(JsonNode activeRecord) {
    return activeRecord.has(DEPENDENCIES_AT) || !activeRecord.path(SPEC).path("waits_on").isEmpty();
  }

  /** What the job waits on, where its own record holds that. */
  static List<String> dependenciesInline(JsonNode activeRecord) {
    List<String> names = new ArrayList<>();
    activeRecord.path(SPEC).path("waits_on").forEach(n -> names.add(n.asText()));
    return names;
  }

  /** The keys that hold what the job waits on, besides its own record. */
  public static List<String> dependenciesKeys(String uid, JsonNode activeRecord) {
    JsonNode at = activeRecord.path(DEPENDENCIES_AT);
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < at.path(PARTS).asInt(); i++) {
      keys.add(dependenciesKey(uid, at.path(DIGEST).asText()) + i);
    }
    return keys;
  }

  /**
   * A stored list of names.
   *
   * @param uid the job that it was stored for, whether or not that was accepted
   * @param prefix of the keys of its parts
   */
  public record DependencyListId(String uid, String prefix) {}

  /** Which list a key belongs to; nothing for a key that is no part of one. */
  public static Optional<DependencyListId> dependencyListOf(String key) {
    int endJob = key.lastIndexOf('/');
    int uidEnd = key.indexOf('/', DEPENDENCIES.length());
    if (!key.startsWith(DEPENDENCIES) || uidEnd < 0 || endJob <= uidEnd) {
      return Optional.empty();
    }
    return Optional.of(
        new DependencyListId(
            key.substring(DEPENDENCIES.length(), uidEnd), key.substring(0, endJob + 1)));
  }

  /** The key of a list's first part. */
  public static String anchorOf(DependencyListId list) {
    return list.prefix() + 0;
  }

  /**
   * Removes parts of a list that no job uses: its job has no active record, and the anchor is as it
   * was seen. What is left without an anchor is not counted by whoever stores the list anew.
   *
   * @param anchorRevision of the anchor as listed, 0 where it is gone
   * @param keys parts that were listed, as many as one transaction drops, the anchor among the
   *     first
   */
  public Transaction removeDependencyList(
      Transaction conditional, DependencyListId list, long anchorRevision, List<String> keys) {
    conditional.require(activeKey(list.uid()), 0).require(anchorOf(list), anchorRevision);
    keys.stream().limit(limits.maxOperations()).forEach(conditional::delete);
    return conditional;
  }

  /** The names that a part holds. */
  public static List<String> names(JsonNode part) {
    List<String> names = new ArrayList<>();
    part.path(NAMES).forEach(n -> names.add(n.asText()));
    return names;
  }

  /**
   * Ends a job: its state is final from here on.
   *
   * @param drops records of it that are of no use any more, as many as the transaction takes
   */
  public Transaction endJob(
      String uid, long revision, JobState how, long wallMicros, List<String> drops) {
    Transaction transaction =
        new Transaction()
            .require(activeKey(uid), revision)
            .put(endedKey(uid), state(how.wireName()).put(ENDED_MS, wallMicros / 1_000))
            .delete(activeKey(uid));
    drops.stream()
        .limit(Math.max(0, limits.maxOperations() - transaction.operationCount()))
        .forEach(transaction::delete);
    return transaction;
  }

  /** How many records the end of a job can drop. */
  public int maxDeletesAtEnd() {
    return Math.max(0, limits.maxOperations() - 2);
  }

  /**
   * When it ended, by the clock of the controller that stored it; 0 where an earlier version did.
   */
  public static long endedWallMicros(JsonNode endedRecord) {
    return endedRecord.path(ENDED_MS).asLong(0) * 1_000;
  }

  private static ObjectNode state(String text) {
    return Json.object().put(STATE, text);
  }

  /** Null when it can't be read. */
  public static JobState finalState(JsonNode endedRecord) {
    String text = endedRecord.path(STATE).asText();
    for (JobState jobState : JobState.values()) {
      if (jobState.isFinal() && jobState.wireName().equals(text)) {
        return jobState;
      }
    }
    return null;
  }

  /** The submission that an active record holds. */
  public static JobSpec spec(JsonNode activeRecord) throws InvalidMessageException {
    if (!(activeRecord.get(SPEC) instanceof ObjectNode object)) {
      throw new InvalidMessageException("the record holds no job");
    }
    return JobSpec.parse(object);
  }

  public static long acceptedWallMicros(JsonNode activeRecord) {
    return activeRecord.path(ACCEPTED_MS).asLong() * 1_000;
  }

  /**
   * How many tasks one record of a large job holds: Base64 makes 4 bytes of 3, the rest is room for
   * the JSON round it.
   */
  public int tasksPerChunk() {
    return tasksPerChunk(valueBytes());
  }

  private static int tasksPerChunk(int valueBytes) {
    return (valueBytes - CHUNK_BASE_BYTES) / BASE64_LETTERS * BASE64_BYTES * Byte.SIZE;
  }

  public JsonNode progressChunk(BitSet done, int firstTask, int tasks) {
    byte[] raw = done.get(firstTask, firstTask + tasks).toByteArray();
    return Json.object().put(FIRST, firstTask).put(BITS, Base64.getEncoder().encodeToString(raw));
  }

  /** Bytes the job takes in a shared chunk, or -1 when it is too large to share a record. */
  public int bytesInSharedChunk(JobSpec spec) {
    int bytes = sizeInSharedChunk(spec);
    return bytes <= valueBytes() / 8 ? bytes : -1;
  }

  /** Bytes the job takes in a shared chunk, whether or not it may share one. */
  public static int sizeInSharedChunk(JobSpec spec) {
    return spec.uid().length()
        + SHARED_ENTRY_BYTES
        + (spec.taskCount() + TASKS_IN_LETTERS - 1) / TASKS_IN_LETTERS * BASE64_LETTERS;
  }

  /** Room in a shared chunk. */
  public int sharedChunkBytes() {
    return valueBytes() - SHARED_CHUNK_BASE_BYTES;
  }

  /** The record that holds the finished tasks of these jobs. */
  public JsonNode sharedChunk(Map<String, BitSet> doneByJob) {
    ObjectNode packed = Json.object();
    doneByJob.forEach(
        (uid, done) -> packed.put(uid, Base64.getEncoder().encodeToString(done.toByteArray())));
    ObjectNode object = Json.object();
    object.set(SHARED, packed);
    return object;
  }

  /** The finished tasks by job; a job whose bitmap can't be read has none. */
  public static Map<String, BitSet> readSharedChunk(JsonNode record) {
    Map<String, BitSet> out = new LinkedHashMap<>();
    record
        .path(SHARED)
        .properties()
        .forEach(
            e -> {
              try {
                out.put(e.getKey(), BitSet.valueOf(e.getValue().binaryValue()));
              } catch (IOException | NullPointerException x) {
                out.put(e.getKey(), new BitSet());
              }
            });
    return out;
  }

  /**
   * Adds the tasks of a stored chunk to {@code into}.
   *
   * @param name the last part of its key
   */
  public void readProgressChunk(JsonNode record, String name, BitSet into)
      throws InvalidMessageException {
    try {
      BitSet bits = BitSet.valueOf(record.path(BITS).binaryValue());
      int from =
          name.startsWith(FROM)
              ? Integer.parseInt(name.substring(FROM.length()))
              : Math.multiplyExact(
                  Integer.parseInt(name), tasksPerChunk(limits.formerValueBytes()));
      if (from < 0 || (record.has(FIRST) && record.get(FIRST).asInt(-1) != from)) {
        throw new InvalidMessageException("a progress record is not what its key says");
      }
      bits.stream().forEach(i -> into.set(from + i));
    } catch (IOException | NullPointerException | NumberFormatException | ArithmeticException e) {
      throw new InvalidMessageException("a progress record can't be read");
    }
  }
}
