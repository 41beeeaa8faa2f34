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
 * The layout of the records in the state service; other packages access records through this class.
 * Each stored format is implemented by a class of its own ({@link ActiveRecord}, {@link
 * EndedRecord}, {@link ProgressRecords}, {@link DependencyListRecords}); the keys are defined in
 * {@link RecordKeys}.
 *
 * <ul>
 *   <li>{@code active/ID}: the submission of a job that has not ended. Creating this record accepts
 *       the job.
 *   <li>{@code ended/ID}: the final state of a job, kept forever. The transaction that writes this
 *       record also deletes the active record. A new leader therefore reads only unfinished jobs,
 *       and a poll of a job reads one key, or two keys after the job has ended.
 *   <li>{@code progress/ID/from-TASK}: bitmap of the finished tasks of a large job, starting at
 *       task number TASK. {@code progress/pack/N}: bitmaps of many small jobs in one record,
 *       because writes are the scarcest resource of the state service. Earlier versions wrote
 *       {@code progress/ID/CHUNK}, with chunks split by the maximum value size in their settings.
 *       That format is still read but no longer written. Earlier versions skip the current format;
 *       otherwise they would assign its bits to the wrong tasks.
 *   <li>{@code waits/ID/DIGEST/N}: the dependencies of a job if they do not fit its active record.
 *       They are written before the active record.
 *   <li>{@code fleet/N}: machines that may hold tasks, as many as fit one value. A machine is
 *       listed here before any command is sent to it. A new leader therefore knows every machine
 *       that may run a task, however stale the machine list of the cloud is.
 *   <li>{@code begun/N}: jobs of which a leader may have started tasks, as many as fit one value. A
 *       job is listed here before its first command is sent. A new leader therefore knows that a
 *       job that is not listed has no task on any machine.
 *   <li>{@code hints/N}: warm state, which is what a leader has learned about images and run time
 *       estimates, for its successor.
 *   <li>{@code catalog}: the machine types that were last read, for a controller that starts while
 *       the cloud is unavailable.
 * </ul>
 */
public final class RecordLayout {
  /** Prefix of the records of jobs that have not ended. */
  public static final String ACTIVE = RecordKeys.ACTIVE;

  /** Prefix of the records of finished tasks of jobs that have not ended. */
  public static final String PROGRESS = RecordKeys.PROGRESS;

  /** Prefix of the records of machines that may hold tasks. */
  public static final String FLEET = RecordKeys.FLEET;

  /** Prefix of the records of jobs of which a leader may have started tasks. */
  public static final String STARTED = RecordKeys.STARTED;

  /** Key of the record of the machine types that were last read. */
  public static final String CATALOG = RecordKeys.CATALOG;

  /** Prefix of the records of warm state, which a leader stores for its successor. */
  public static final String WARM_STATE = RecordKeys.WARM_STATE;

  /** Prefix of the records of jobs that have ended. */
  public static final String ENDED = RecordKeys.ENDED;

  /** Prefix of the dependency lists that do not fit the active records of their jobs. */
  public static final String DEPENDENCIES = RecordKeys.DEPENDENCIES;

  /**
   * The number of operations in the transaction that ends a job: it puts the ended record and
   * deletes the active record.
   */
  private static final int OPERATIONS_PER_JOB_END = 2;

  private final WriteLimits limits;
  private final List<String> otherShardPrefixes;

  /**
   * The maximum value size from the settings, in bytes. Whether a submission is small enough is
   * decided by this size and not by {@link #limits}, which shrink when the state service refuses a
   * write.
   */
  private final int configuredValueBytes;

  /** Creates the layout for a shard that does not belong to a pool. */
  public RecordLayout(WriteLimits limits) {
    this(limits, List.of());
  }

  /**
   * Creates the layout for a shard of a pool.
   *
   * @param otherShardPrefixes key prefixes of the other shards of the pool; a job is accepted only
   *     if it exists under none of them
   */
  public RecordLayout(WriteLimits limits, List<String> otherShardPrefixes) {
    this.otherShardPrefixes = otherShardPrefixes;
    this.limits = limits;
    this.configuredValueBytes = limits.maxValueBytes();
  }

  /**
   * Returns the limits of a single transaction. They shrink when the state service refuses a
   * transaction as too large.
   */
  public WriteLimits limits() {
    return limits;
  }

  /** Returns the current maximum size of a value in bytes. */
  public int maxValueBytes() {
    return limits.maxValueBytes();
  }

  /** Returns the key of the ended record of the job. */
  public static String endedKey(String uid) {
    return RecordKeys.ended(uid);
  }

  /** Returns the key of the active record of the job. */
  public static String activeKey(String uid) {
    return RecordKeys.active(uid);
  }

  /** Returns the key of a record of machines that may hold tasks; these records are numbered. */
  public static String machinesKey(int number) {
    return FLEET + number;
  }

  /**
   * Returns the key of a record of jobs of which a leader may have started tasks; these records are
   * numbered.
   */
  public static String startedKey(int number) {
    return STARTED + number;
  }

  /**
   * Returns the key of a record of warm state (learned image and run time data); these records are
   * numbered.
   */
  public static String warmStateKey(int number) {
    return WARM_STATE + number;
  }

  /**
   * For a key of the form {@code TYPE/N} of a record that lists several jobs or machines, returns
   * the record number N; -1 for a key of another form.
   */
  public static int sharedRecordNumber(String key) {
    return RecordKeys.sharedRecordNumber(key);
  }

  /**
   * Returns the key of the progress record of a large job whose range of tasks begins with this
   * task number.
   */
  public static String progressKey(String uid, int firstTask) {
    return ProgressRecords.chunkKey(uid, firstTask);
  }

  /**
   * Returns the key of the shared progress chunk with this number: a record that holds the finished
   * tasks of many small jobs.
   */
  public static String sharedChunkKey(int sharedChunk) {
    return RecordKeys.sharedProgress(sharedChunk);
  }

  /**
   * Returns the number of the shared progress chunk (finished tasks of many small jobs) with this
   * key, or -1 for any other key.
   */
  public static int sharedChunkNumber(String key) {
    return RecordKeys.sharedProgressNumber(key);
  }

  /**
   * The writes that accept a job.
   *
   * @param parts the parts of the dependency list by key, beginning with the anchor (first part);
   *     they have to be stored before the transaction is sent. Empty if the dependencies fit the
   *     active record.
   * @param transaction creates the active record of the job
   */
  public record Acceptance(Map<String, ObjectNode> parts, Transaction transaction) {
    /**
     * Returns true if the dependencies do not fit the active record, so that a dependency list has
     * to be stored before the job is accepted.
     */
    public boolean hasDependencyList() {
      return !parts.isEmpty();
    }

    /** Returns the key of the first part of the dependency list. */
    String anchor() {
      return parts.keySet().iterator().next();
    }

    /**
     * Adds to the transaction the precondition that the anchor (first part) of the dependency list
     * is unchanged: the transaction fails if the list was removed after the anchor was read.
     * Returns the transaction.
     *
     * @param anchorRevision the revision of the anchor when it was read
     */
    public Transaction requireAnchor(long anchorRevision) {
      return transaction.require(anchor(), anchorRevision);
    }
  }

  /**
   * Builds the writes that accept the job; empty if the active record would exceed the maximum
   * value size.
   */
  public Optional<Acceptance> acceptJob(JobSpec spec, long wallMicros) {
    ObjectNode active = ActiveRecord.write(spec, wallMicros);
    Map<String, ObjectNode> parts = Map.of();
    if (spec.hasDependencies() && bytes(active) > maxValueBytes()) {
      String digest = DependencyListRecords.digest(spec.dependencies(), maxValueBytes());
      parts =
          DependencyListRecords.parts(
              DependencyListRecords.prefix(spec.uid(), digest),
              spec.dependencies(),
              maxValueBytes());
      active = ActiveRecord.writeWithList(spec, wallMicros, digest, parts.size());
    }
    if (bytes(active) > configuredValueBytes) {
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
    for (String prefix : otherShardPrefixes) {
      transaction
          .require(KeySpace.absolute(prefix, activeKey(uid)), 0)
          .require(KeySpace.absolute(prefix, endedKey(uid)), 0);
    }
    return transaction;
  }

  private static int bytes(JsonNode value) {
    return Json.write(value).getBytes(StandardCharsets.UTF_8).length;
  }

  /**
   * Returns the keys of the dependency list parts of the job; empty if the active record holds the
   * dependencies itself.
   */
  public static List<String> dependencyListKeys(String uid, JsonNode activeRecord) {
    return ActiveRecord.dependencyListKeys(uid, activeRecord);
  }

  /**
   * Identifies a stored dependency list.
   *
   * @param uid the job for which the list was stored, even if that job was never accepted
   * @param prefix the key prefix of the parts
   */
  public record DependencyListId(String uid, String prefix) {}

  /**
   * Returns the id of the dependency list that this key belongs to; empty if this is not the key of
   * a part of a dependency list.
   */
  public static Optional<DependencyListId> dependencyListOf(String key) {
    return DependencyListRecords.listOf(key);
  }

  /** Returns the key of the first part of the dependency list. */
  public static String anchorKey(DependencyListId list) {
    return list.prefix() + 0;
  }

  /**
   * Adds operations to the transaction that delete a dependency list that no job uses.
   * Preconditions: the job has no active record, and the anchor (first part of the list) is
   * unchanged. Parts that do not fit the transaction remain, but without an anchor they do not
   * count as stored.
   *
   * @param transaction the transaction that the removal is added to
   * @param anchorRevision the revision of the anchor when the list was read, 0 if the anchor is
   *     already removed
   * @param keys the keys of the parts to delete, anchor first; as many are deleted as one
   *     transaction can hold
   */
  public Transaction removeDependencyList(
      Transaction transaction, DependencyListId list, long anchorRevision, List<String> keys) {
    transaction.require(activeKey(list.uid()), 0).require(anchorKey(list), anchorRevision);
    keys.stream().limit(limits.maxOperations()).forEach(transaction::delete);
    return transaction;
  }

  /** Returns the ids of the jobs that a part of a dependency list contains. */
  public static List<String> dependencyIds(JsonNode part) {
    return DependencyListRecords.uids(part);
  }

  /**
   * Builds the transaction that stores the final state of a job.
   *
   * @param revision the revision of the active record
   * @param obsoleteKeys keys of records of this job that are no longer needed; as many are deleted
   *     as the transaction can hold
   */
  public Transaction endJob(
      String uid, long revision, JobState finalState, long wallMicros, List<String> obsoleteKeys) {
    Transaction transaction =
        new Transaction()
            .require(activeKey(uid), revision)
            .put(endedKey(uid), EndedRecord.write(finalState, wallMicros))
            .delete(activeKey(uid));
    obsoleteKeys.stream().limit(maxDeletesAtEnd()).forEach(transaction::delete);
    return transaction;
  }

  /** Returns how many obsolete records of a job the transaction that ends the job can delete. */
  public int maxDeletesAtEnd() {
    return Math.max(0, limits.maxOperations() - OPERATIONS_PER_JOB_END);
  }

  /**
   * Returns the time at which the job ended, by the wall clock of the controller that stored the
   * record; 0 if an earlier version, which did not store the time, wrote the record.
   */
  public static long endedWallMicros(JsonNode endedRecord) {
    return EndedRecord.endedWallMicros(endedRecord);
  }

  /** Returns the final state of the job; empty if the record is unreadable. */
  public static Optional<JobState> finalState(JsonNode endedRecord) {
    return EndedRecord.finalState(endedRecord);
  }

  /** Returns the submission stored in an active record. */
  public static JobSpec spec(JsonNode activeRecord) throws InvalidMessageException {
    return ActiveRecord.spec(activeRecord);
  }

  /**
   * Returns the time at which the job was accepted, by the wall clock of the controller that stored
   * the record.
   */
  public static long acceptedWallMicros(JsonNode activeRecord) {
    return ActiveRecord.acceptedWallMicros(activeRecord);
  }

  /** Returns the number of tasks whose completion one progress record of a large job can hold. */
  public int tasksPerChunk() {
    return ProgressRecords.tasksPerChunk(maxValueBytes());
  }

  /** Builds a progress record of a large job: a bitmap of the finished tasks in the given range. */
  public JsonNode progressChunk(BitSet done, int firstTask, int tasks) {
    return ProgressRecords.chunk(done, firstTask, tasks);
  }

  /**
   * Returns the number of bytes that the bitmap of finished tasks of the job takes in a progress
   * record shared by many jobs, or -1 if the job is too large to share one.
   */
  public int bytesInSharedChunk(JobSpec spec) {
    return ProgressRecords.bytesInSharedChunk(spec, maxValueBytes()).orElse(-1);
  }

  /**
   * Returns the number of bytes that the bitmap of finished tasks of the job would take in a
   * progress record shared by many jobs. Also valid for a job that is too large to be stored in
   * one.
   */
  public static int sizeInSharedChunk(JobSpec spec) {
    return ProgressRecords.sizeInSharedChunk(spec);
  }

  /**
   * Returns the maximum total size, in bytes, of the jobs' entries in a progress record that many
   * jobs share.
   */
  public int sharedChunkBytes() {
    return ProgressRecords.sharedChunkBytes(maxValueBytes());
  }

  /**
   * Builds the progress record shared by these jobs, which holds the finished tasks of each of
   * them.
   */
  public JsonNode sharedChunk(Map<String, BitSet> doneByJob) {
    return ProgressRecords.sharedChunk(doneByJob);
  }

  /**
   * Reads the finished tasks of each job from a progress record shared by many jobs. If the bitmap
   * of a job is unreadable, none of its tasks counts as finished.
   */
  public static Map<String, BitSet> readSharedChunk(JsonNode record) {
    return ProgressRecords.readSharedChunk(record);
  }

  /**
   * Reads a progress record of a large job and adds the numbers of the finished tasks to {@code
   * into}.
   *
   * @param name the last segment of the key of the record
   */
  public void readProgressChunk(JsonNode record, String name, BitSet into)
      throws InvalidMessageException {
    ProgressRecords.readChunk(record, name, limits.currentValueBytes(), into);
  }
}
