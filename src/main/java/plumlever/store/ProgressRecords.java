package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;

/**
 * The stored format of the progress of jobs: the finished tasks of each job as a Base64 bitmap with
 * one bit per task. Each record is called a chunk. It holds a range of tasks of one large job or
 * all tasks of many small jobs.
 */
final class ProgressRecords {
  private static final String BITS = "b";
  private static final String FIRST_TASK = "f";
  private static final String SHARED_ENTRIES = "p";
  private static final String FIRST_TASK_PREFIX = "from-";

  /** Base64 encodes every 3 bytes as 4 characters. */
  private static final int BASE64_GROUP_LETTERS = 4;

  private static final int BASE64_GROUP_BYTES = 3;
  private static final int TASKS_PER_BASE64_GROUP = BASE64_GROUP_BYTES * Byte.SIZE;

  /** The bytes of JSON that a progress record of a large job needs in addition to its bitmap. */
  private static final int CHUNK_OVERHEAD_BYTES = 64;

  /**
   * The bytes of JSON that a shared progress record needs in addition to the entries of its jobs.
   */
  private static final int SHARED_CHUNK_OVERHEAD_BYTES = 32;

  /**
   * The bytes of JSON that the entry of a job in a shared progress record needs in addition to the
   * job id and the bitmap.
   */
  private static final int SHARED_ENTRY_OVERHEAD_BYTES = 8;

  /**
   * The progress of a job is stored together with that of other jobs only if at least this many
   * jobs of its size fit into one record.
   */
  private static final int MIN_ENTRIES_OF_SHARED_CHUNK = 8;

  private ProgressRecords() {}

  /**
   * Returns the key of the progress record of a large job whose range of tasks begins with this
   * task number.
   */
  static String chunkKey(String uid, int firstTask) {
    return RecordKeys.PROGRESS + uid + "/" + FIRST_TASK_PREFIX + firstTask;
  }

  /** Returns the number of tasks whose completion one progress record of a large job can hold. */
  static int tasksPerChunk(int maxValueBytes) {
    return (maxValueBytes - CHUNK_OVERHEAD_BYTES)
        / BASE64_GROUP_LETTERS
        * BASE64_GROUP_BYTES
        * Byte.SIZE;
  }

  /** Builds a progress record of a large job: a bitmap of the finished tasks in the given range. */
  static ObjectNode chunk(BitSet done, int firstTask, int tasks) {
    return Json.object()
        .put(FIRST_TASK, firstTask)
        .put(BITS, base64(done.get(firstTask, firstTask + tasks)));
  }

  /**
   * Reads a progress record of a large job and adds the numbers of the finished tasks to {@code
   * into}.
   *
   * @param name the last segment of the key of the record
   * @param formerMaxValueBytes the maximum value size by which earlier versions split the bitmap
   *     into records; needed to read such records
   */
  static void readChunk(JsonNode record, String name, int formerMaxValueBytes, BitSet into)
      throws InvalidMessageException {
    BitSet bits =
        bits(record.path(BITS))
            .orElseThrow(
                () -> new InvalidMessageException("the bitmap is missing or not valid Base64"));
    int firstTask = firstTask(name, formerMaxValueBytes);
    if (firstTask < 0
        || (record.has(FIRST_TASK) && record.get(FIRST_TASK).asInt(-1) != firstTask)) {
      throw new InvalidMessageException(
          "first task "
              + firstTask
              + " in the key is negative or differs from the first task in the record: "
              + record.path(FIRST_TASK));
    }
    bits.stream().forEach(i -> into.set(firstTask + i));
  }

  private static int firstTask(String name, int formerMaxValueBytes)
      throws InvalidMessageException {
    try {
      return name.startsWith(FIRST_TASK_PREFIX)
          ? Integer.parseInt(name.substring(FIRST_TASK_PREFIX.length()))
          : Math.multiplyExact(Integer.parseInt(name), tasksPerChunk(formerMaxValueBytes));
    } catch (NumberFormatException | ArithmeticException e) {
      throw new InvalidMessageException(
          "key segment '" + name + "' has no valid task or chunk number");
    }
  }

  /**
   * Returns the number of bytes that the bitmap of finished tasks of the job takes in a progress
   * record shared by many jobs; empty if the job is too large to share one.
   */
  static OptionalInt bytesInSharedChunk(JobSpec spec, int maxValueBytes) {
    int bytes = sizeInSharedChunk(spec);
    return bytes <= maxValueBytes / MIN_ENTRIES_OF_SHARED_CHUNK
        ? OptionalInt.of(bytes)
        : OptionalInt.empty();
  }

  /**
   * Returns the number of bytes that the bitmap of finished tasks of the job would take in a
   * progress record shared by many jobs. Also valid for a job that is too large to be stored in
   * one.
   */
  static int sizeInSharedChunk(JobSpec spec) {
    return spec.uid().length()
        + SHARED_ENTRY_OVERHEAD_BYTES
        + (spec.taskCount() + TASKS_PER_BASE64_GROUP - 1)
            / TASKS_PER_BASE64_GROUP
            * BASE64_GROUP_LETTERS;
  }

  /**
   * Returns the maximum total size, in bytes, of the jobs' entries in a progress record that many
   * jobs share.
   */
  static int sharedChunkBytes(int maxValueBytes) {
    return maxValueBytes - SHARED_CHUNK_OVERHEAD_BYTES;
  }

  /**
   * Builds the progress record shared by these jobs, which holds the finished tasks of each of
   * them.
   */
  static ObjectNode sharedChunk(Map<String, BitSet> doneByJob) {
    ObjectNode entries = Json.object();
    doneByJob.forEach((uid, done) -> entries.put(uid, base64(done)));
    ObjectNode chunk = Json.object();
    chunk.set(SHARED_ENTRIES, entries);
    return chunk;
  }

  /**
   * Reads the finished tasks of each job from a progress record shared by many jobs. If the bitmap
   * of a job is unreadable, none of its tasks counts as finished.
   */
  static Map<String, BitSet> readSharedChunk(JsonNode record) {
    Map<String, BitSet> doneByJob = new LinkedHashMap<>();
    record
        .path(SHARED_ENTRIES)
        .properties()
        .forEach(
            entry -> doneByJob.put(entry.getKey(), bits(entry.getValue()).orElseGet(BitSet::new)));
    return doneByJob;
  }

  private static Optional<BitSet> bits(JsonNode base64) {
    try {
      return Optional.ofNullable(base64.binaryValue()).map(BitSet::valueOf);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static String base64(BitSet bits) {
    return Base64.getEncoder().encodeToString(bits.toByteArray());
  }
}
