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
 * The stored format of the sets of finished tasks: Base64 bitmaps, split into records called
 * chunks. A chunk belongs to one large job or is shared by many small jobs.
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
   * A job is stored in a shared progress record only if at least this many jobs of its size would
   * fit into the record.
   */
  private static final int MIN_ENTRIES_OF_SHARED_CHUNK = 8;

  private ProgressRecords() {}

  /**
   * Returns the key of the record that holds the finished tasks of a large job from this task
   * number on.
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

  /** Builds the record of which tasks in a range of a large job are finished. */
  static ObjectNode chunk(BitSet done, int firstTask, int tasks) {
    return Json.object()
        .put(FIRST_TASK, firstTask)
        .put(BITS, base64(done.get(firstTask, firstTask + tasks)));
  }

  /**
   * Adds the finished tasks in a stored progress record of a large job to {@code into}.
   *
   * @param name the last segment of the key of the record
   * @param formerMaxValueBytes the value size by which earlier versions split their chunks
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
   * Returns the bytes that the finished tasks of the job take in a progress record shared by many
   * jobs; empty if the job is too large to share one.
   */
  static OptionalInt bytesInSharedChunk(JobSpec spec, int maxValueBytes) {
    int bytes = sizeInSharedChunk(spec);
    return bytes <= maxValueBytes / MIN_ENTRIES_OF_SHARED_CHUNK
        ? OptionalInt.of(bytes)
        : OptionalInt.empty();
  }

  /**
   * Returns the bytes that the finished tasks of the job would take in a shared progress record,
   * even if the job is too large to share one.
   */
  static int sizeInSharedChunk(JobSpec spec) {
    return spec.uid().length()
        + SHARED_ENTRY_OVERHEAD_BYTES
        + (spec.taskCount() + TASKS_PER_BASE64_GROUP - 1)
            / TASKS_PER_BASE64_GROUP
            * BASE64_GROUP_LETTERS;
  }

  /** Returns the maximum total size of the jobs in a shared progress record, in bytes. */
  static int sharedChunkBytes(int maxValueBytes) {
    return maxValueBytes - SHARED_CHUNK_OVERHEAD_BYTES;
  }

  /** Builds the shared progress record that holds the finished tasks of these jobs. */
  static ObjectNode sharedChunk(Map<String, BitSet> doneByJob) {
    ObjectNode entries = Json.object();
    doneByJob.forEach((uid, done) -> entries.put(uid, base64(done)));
    ObjectNode chunk = Json.object();
    chunk.set(SHARED_ENTRIES, entries);
    return chunk;
  }

  /**
   * Reads the finished tasks of each job from a shared progress record; a job whose bitmap is
   * unreadable gets an empty set.
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
