package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;
import plumlever.wire.Json;

/**
 * The layout of the records in the state service: what other packages need of it. The stored forms
 * are each in a class of its own ({@link ActiveRecord}, {@link EndedRecord}, {@link
 * ProgressRecords}, {@link DependencyListRecords}), the keys in {@link RecordKeys}.
 *
 * <ul>
 *   <li>{@code active/ID}: the submission, while the job has not ended. Accepting a job is this one
 *       change.
 *   <li>{@code ended/ID}: how it ended, kept for ever; written in the transaction that deletes the
 *       one above. So a new leader reads only what is left to do, and a poll of a job reads one
 *       key, or two after its end.
 *   <li>{@code progress/ID/from-TASK}: bitmap of finished tasks of a large job, from that task on;
 *       {@code progress/pack/N}: those of many small ones, since changes are what the state service
 *       has least of. Earlier versions wrote {@code progress/ID/CHUNK}, cut up by the largest value
 *       of their settings, which is read and not written any more; they pass over the present form,
 *       for they would take its bits for those of other tasks.
 *   <li>{@code waits/ID/DIGEST/N}: the jobs that a job depends on, where they do not fit its
 *       record; written before it.
 *   <li>{@code fleet/N}: machines that may hold tasks, as many as fit one value. A machine is in
 *       one of them before any command is sent to it, so a new leader knows every machine that
 *       could run something, however far the cloud's list lags.
 *   <li>{@code begun/N}: jobs that a leader may have started tasks of, as many as fit one value. A
 *       job is in one of them before its first command, so what a new leader does not find there is
 *       on no machine.
 *   <li>{@code hints/N}: what a leader learnt of images and estimates, for its successor.
 *   <li>{@code catalog}: the last machine types read, for a controller that starts while the cloud
 *       is down.
 * </ul>
 */
public final class JobStore {
  /** Jobs that have not ended. */
  public static final String ACTIVE = RecordKeys.ACTIVE;

  /** Finished tasks of jobs that have not ended. */
  public static final String PROGRESS = RecordKeys.PROGRESS;

  /** Machines that may hold tasks. */
  public static final String FLEET = RecordKeys.FLEET;

  /** Jobs that may have been started. */
  public static final String STARTED = RecordKeys.STARTED;

  /** The last machine types read. */
  public static final String CATALOG = RecordKeys.CATALOG;

  /** What a leader learnt, for its successor. */
  public static final String WARM_STATE = RecordKeys.WARM_STATE;

  /** Jobs that have ended. */
  public static final String ENDED = RecordKeys.ENDED;

  /** Lists of jobs that jobs depend on, where they do not fit the jobs' records. */
  public static final String DEPENDENCIES = RecordKeys.DEPENDENCIES;

  /** The end of a job puts the ended record and deletes the active one. */
  private static final int OPERATIONS_OF_END = 2;

  private final WriteLimits limits;
  private final List<String> otherShards;

  /** What the settings state, so that it depends on no refusal whether a job is accepted. */
  private final int statedValueBytes;

  /** The layout within these limits, for a shard that is alone. */
  public JobStore(WriteLimits limits) {
    this(limits, List.of());
  }

  /**
   * The layout within these limits.
   *
   * @param otherShards prefixes of other shards' keys, in none of which a job may be that is
   *     accepted
   */
  public JobStore(WriteLimits limits, List<String> otherShards) {
    this.otherShards = otherShards;
    this.limits = limits;
    this.statedValueBytes = limits.maxValueBytes();
  }

  /** How much one write may hold; it may get less with time. */
  public WriteLimits limits() {
    return limits;
  }

  /** How many bytes a value may have now. */
  public int valueBytes() {
    return limits.maxValueBytes();
  }

  /** The key of the record of a job that has ended. */
  public static String endedKey(String uid) {
    return RecordKeys.ended(uid);
  }

  /** The key of the record of a job that has not ended. */
  public static String activeKey(String uid) {
    return RecordKeys.active(uid);
  }

  /** The key of a record of machines that may hold tasks. */
  public static String machinesKey(int number) {
    return FLEET + number;
  }

  /** The key of a record of jobs that may have been started. */
  public static String startedKey(int number) {
    return STARTED + number;
  }

  /** The key of a record of what a leader learnt, for its successor. */
  public static String warmStateKey(int number) {
    return WARM_STATE + number;
  }

  /** Number of a record that entries share, or -1. */
  public static int sharedRecordNumber(String key) {
    return RecordKeys.sharedRecordNumber(key);
  }

  /** The record of the tasks from this one on. */
  public static String progressKey(String uid, int firstTask) {
    return ProgressRecords.chunkKey(uid, firstTask);
  }

  /** The key of a record of the progress of many small jobs. */
  public static String sharedChunkKey(int sharedChunk) {
    return RecordKeys.sharedProgress(sharedChunk);
  }

  /** Number of the shared chunk, or -1 for any other key. */
  public static int sharedChunkOf(String key) {
    return RecordKeys.sharedProgressNumber(key);
  }

  /**
   * How a job is accepted.
   *
   * @param parts what has to be stored before the transaction, by key: the jobs that it depends on,
   *     if they do not fit; the anchor of the list first
   * @param transaction creates the job's record
   */
  public record Acceptance(Map<String, ObjectNode> parts, Transaction transaction) {
    /** True if the jobs that the job depends on have to be stored first. */
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

  /** The records of a job that is to be accepted; nothing if they are too long to be stored. */
  public Optional<Acceptance> acceptJob(JobSpec spec, long wallMicros) {
    ObjectNode active = ActiveRecord.write(spec, wallMicros);
    Map<String, ObjectNode> parts = Map.of();
    if (spec.hasDependencies() && bytes(active) > valueBytes()) {
      String digest = DependencyListRecords.digest(spec.dependencies(), valueBytes());
      parts =
          DependencyListRecords.parts(
              DependencyListRecords.prefix(spec.uid(), digest), spec.dependencies(), valueBytes());
      active = ActiveRecord.writeWithList(spec, wallMicros, digest, parts.size());
    }
    if (bytes(active) > statedValueBytes) {
      return Optional.empty();
    }
    return Optional.of(new Acceptance(parts, createActive(spec.uid(), active)));
  }

  private Transaction createActive(String uid, ObjectNode active) {
    Transaction transaction =
        new Transaction()
            .require(activeKey(uid), 0)
            .require(endedKey(uid), 0)
            .put(activeKey(uid), active);
    for (String prefix : otherShards) {
      transaction
          .require(KeySpace.absolute(prefix, activeKey(uid)), 0)
          .require(KeySpace.absolute(prefix, endedKey(uid)), 0);
    }
    return transaction;
  }

  private static int bytes(JsonNode value) {
    return Json.write(value).getBytes(StandardCharsets.UTF_8).length;
  }

  /** The keys that hold what the job depends on, besides its own record. */
  public static List<String> dependenciesKeys(String uid, JsonNode activeRecord) {
    return ActiveRecord.dependenciesKeys(uid, activeRecord);
  }

  /**
   * A stored list of jobs that a job depends on.
   *
   * @param uid the job that it was stored for, whether or not that was accepted
   * @param prefix of the keys of its parts
   */
  public record DependencyListId(String uid, String prefix) {}

  /** Which list a key belongs to; nothing for a key that is no part of one. */
  public static Optional<DependencyListId> dependencyListOf(String key) {
    return DependencyListRecords.listOf(key);
  }

  /** The key of a list's first part. */
  public static String anchorOf(DependencyListId list) {
    return list.prefix() + 0;
  }

  /**
   * Removes parts of a list that no job uses: its job has no active record, and the anchor is as it
   * was seen. What is left without an anchor is not counted by whoever stores the list anew.
   *
   * @param conditional what the removal is added to
   * @param anchorRevision of the anchor as listed, 0 where it is gone
   * @param keys parts that were listed, as many as one transaction deletes, the anchor among the
   *     first
   */
  public Transaction removeDependencyList(
      Transaction conditional, DependencyListId list, long anchorRevision, List<String> keys) {
    conditional.require(activeKey(list.uid()), 0).require(anchorOf(list), anchorRevision);
    keys.stream().limit(limits.maxOperations()).forEach(conditional::delete);
    return conditional;
  }

  /** The jobs that a part of a list names. */
  public static List<String> names(JsonNode part) {
    return DependencyListRecords.uids(part);
  }

  /**
   * Ends a job: its state is final from here on.
   *
   * @param revision of its active record
   * @param useless records of it that are of no use any more; as many are deleted as the
   *     transaction takes
   */
  public Transaction endJob(
      String uid, long revision, JobState finalState, long wallMicros, List<String> useless) {
    Transaction transaction =
        new Transaction()
            .require(activeKey(uid), revision)
            .put(endedKey(uid), EndedRecord.write(finalState, wallMicros))
            .delete(activeKey(uid));
    useless.stream().limit(maxDeletesAtEnd()).forEach(transaction::delete);
    return transaction;
  }

  /** How many other records of a job its end can delete. */
  public int maxDeletesAtEnd() {
    return Math.max(0, limits.maxOperations() - OPERATIONS_OF_END);
  }

  /**
   * When it ended, by the clock of the controller that stored it; 0 where an earlier version did.
   */
  public static long endedWallMicros(JsonNode endedRecord) {
    return EndedRecord.endedWallMicros(endedRecord);
  }

  /** How the job ended; empty when that can't be read. */
  public static Optional<JobState> finalState(JsonNode endedRecord) {
    return EndedRecord.finalState(endedRecord);
  }

  /** The submission that an active record holds. */
  public static JobSpec spec(JsonNode activeRecord) throws InvalidMessageException {
    return ActiveRecord.spec(activeRecord);
  }

  /** When the job was accepted, by the clock of the controller that stored it. */
  public static long acceptedWallMicros(JsonNode activeRecord) {
    return ActiveRecord.acceptedWallMicros(activeRecord);
  }

  /** How many tasks one record of a large job holds. */
  public int tasksPerChunk() {
    return ProgressRecords.tasksPerChunk(valueBytes());
  }

  /** The record that holds which of these tasks of a large job have finished. */
  public JsonNode progressChunk(BitSet done, int firstTask, int tasks) {
    return ProgressRecords.chunk(done, firstTask, tasks);
  }

  /** Bytes the job takes in a shared chunk, or -1 when it is too large to share a record. */
  public int bytesInSharedChunk(JobSpec spec) {
    return ProgressRecords.bytesInSharedChunk(spec, valueBytes()).orElse(-1);
  }

  /** Bytes the job takes in a shared chunk, whether or not it may share one. */
  public static int sizeInSharedChunk(JobSpec spec) {
    return ProgressRecords.sizeInSharedChunk(spec);
  }

  /** Bytes that the jobs of a shared chunk may take together. */
  public int sharedChunkBytes() {
    return ProgressRecords.sharedChunkBytes(valueBytes());
  }

  /** The record that holds the finished tasks of these jobs. */
  public JsonNode sharedChunk(Map<String, BitSet> doneByJob) {
    return ProgressRecords.sharedChunk(doneByJob);
  }

  /** The finished tasks by job; a job whose bitmap can't be read has none. */
  public static Map<String, BitSet> readSharedChunk(JsonNode record) {
    return ProgressRecords.readSharedChunk(record);
  }

  /**
   * Adds the tasks of a stored chunk to {@code into}.
   *
   * @param name the last part of its key
   */
  public void readProgressChunk(JsonNode record, String name, BitSet into)
      throws InvalidMessageException {
    ProgressRecords.readChunk(record, name, limits.formerValueBytes(), into);
  }
}
