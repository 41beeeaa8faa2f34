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
 * Which tasks have finished, as it is stored: bitmaps in Base64, in chunks of one large job each or
 * of many small ones.
 */
final class ProgressRecords {
  private static final String BITS = "b";
  private static final String FIRST_TASK = "f";
  private static final String SHARED = "p";
  private static final String FROM = "from-";

  /** Base64 makes so many letters of so many bytes. */
  private static final int BASE64_LETTERS = 4;

  private static final int BASE64_BYTES = 3;
  private static final int TASKS_IN_LETTERS = BASE64_BYTES * Byte.SIZE;

  /** What the JSON round a chunk, a shared chunk and an entry of one takes. */
  private static final int CHUNK_BASE_BYTES = 64;

  private static final int SHARED_CHUNK_BASE_BYTES = 32;
  private static final int SHARED_ENTRY_BYTES = 8;

  /** A job may take up to this part of a shared chunk. */
  private static final int MIN_ENTRIES_OF_SHARED_CHUNK = 8;

  private ProgressRecords() {}

  /** The record of the tasks from this one on. */
  static String chunkKey(String uid, int firstTask) {
    return RecordKeys.PROGRESS + uid + "/" + FROM + firstTask;
  }

  /** How many tasks one chunk of a large job holds. */
  static int tasksPerChunk(int maxValueBytes) {
    return (maxValueBytes - CHUNK_BASE_BYTES) / BASE64_LETTERS * BASE64_BYTES * Byte.SIZE;
  }

  /** The chunk of these tasks. */
  static ObjectNode chunk(BitSet done, int firstTask, int tasks) {
    return Json.object()
        .put(FIRST_TASK, firstTask)
        .put(BITS, base64(done.get(firstTask, firstTask + tasks)));
  }

  /**
   * Adds the tasks of a stored chunk to {@code into}.
   *
   * @param name the last part of its key
   * @param formerMaxValueBytes by which earlier versions cut up their chunks
   */
  static void readChunk(JsonNode record, String name, int formerMaxValueBytes, BitSet into)
      throws InvalidMessageException {
    BitSet bits = bits(record.path(BITS)).orElseThrow(ProgressRecords::unreadable);
    int firstTask = firstTask(name, formerMaxValueBytes);
    if (firstTask < 0
        || (record.has(FIRST_TASK) && record.get(FIRST_TASK).asInt(-1) != firstTask)) {
      throw new InvalidMessageException("a progress record is not what its key says");
    }
    bits.stream().forEach(i -> into.set(firstTask + i));
  }

  private static int firstTask(String name, int formerMaxValueBytes)
      throws InvalidMessageException {
    try {
      return name.startsWith(FROM)
          ? Integer.parseInt(name.substring(FROM.length()))
          : Math.multiplyExact(Integer.parseInt(name), tasksPerChunk(formerMaxValueBytes));
    } catch (NumberFormatException | ArithmeticException e) {
      throw unreadable();
    }
  }

  private static InvalidMessageException unreadable() {
    return new InvalidMessageException("a progress record can't be read");
  }

  /** Bytes that the job takes in a shared chunk; nothing when it is too large to share one. */
  static OptionalInt bytesInSharedChunk(JobSpec spec, int maxValueBytes) {
    int bytes = sizeInSharedChunk(spec);
    return bytes <= maxValueBytes / MIN_ENTRIES_OF_SHARED_CHUNK
        ? OptionalInt.of(bytes)
        : OptionalInt.empty();
  }

  /** Bytes that the job takes in a shared chunk, whether or not it may share one. */
  static int sizeInSharedChunk(JobSpec spec) {
    return spec.uid().length()
        + SHARED_ENTRY_BYTES
        + (spec.taskCount() + TASKS_IN_LETTERS - 1) / TASKS_IN_LETTERS * BASE64_LETTERS;
  }

  /** Bytes that the jobs of a shared chunk may take together. */
  static int sharedChunkBytes(int maxValueBytes) {
    return maxValueBytes - SHARED_CHUNK_BASE_BYTES;
  }

  /** The chunk that these jobs share. */
  static ObjectNode sharedChunk(Map<String, BitSet> doneByJob) {
    ObjectNode entries = Json.object();
    doneByJob.forEach((uid, done) -> entries.put(uid, base64(done)));
    ObjectNode chunk = Json.object();
    chunk.set(SHARED, entries);
    return chunk;
  }

  /** The finished tasks by job; a job whose bitmap can't be read has none. */
  static Map<String, BitSet> readSharedChunk(JsonNode record) {
    Map<String, BitSet> doneByJob = new LinkedHashMap<>();
    record
        .path(SHARED)
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
