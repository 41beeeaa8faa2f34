package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/** The layout of records. */
final class JobStoreTest {
  private static JobStore layout(int valueBytes, int formerValueBytes) {
    return new JobStore(
        new WriteLimits(
            new PlatformConfiguration.StateLimits(100, 20, valueBytes, 4, formerValueBytes)));
  }

  /**
   * A hundred thousand finished tasks do not fit one value: each chunk must, and together they lose
   * none.
   */
  @ParameterizedTest
  @ValueSource(ints = {1024, 2048, 4096, 16384})
  void chunksHoldTheLargestJob(int valueBytes) throws InvalidMessageException {
    JobStore jobStore = layout(valueBytes, 16384);
    BitSet done = new BitSet();
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 100_000; i++) {
      done.set(i, random.nextBoolean());
    }
    done.set(99_999);
    BitSet back = new BitSet();
    int chunks = 0;
    for (int first = 0; first < 100_000; first += jobStore.tasksPerChunk()) {
      JsonNode chunk = jobStore.progressChunk(done, first, jobStore.tasksPerChunk());
      assertTrue(Json.write(chunk).length() <= valueBytes);
      String key = JobStore.progressKey("job-1", first);
      // By whatever size it was cut up, it is read the same.
      layout(1024, 4096).readProgressChunk(chunk, key.substring(key.lastIndexOf('/') + 1), back);
      chunks++;
    }
    assertEquals(done, back);
    assertEquals((100_000 + jobStore.tasksPerChunk() - 1) / jobStore.tasksPerChunk(), chunks);
  }

  /**
   * Versions before wrote chunks by number, cut up by what their settings gave as the largest
   * value: now, not next.
   */
  @Test
  void readsTheChunksOfEarlierVersions() throws InvalidMessageException {
    BitSet bits = new BitSet();
    bits.set(5);
    JsonNode record =
        Json.object().put("b", Base64.getEncoder().encodeToString(bits.toByteArray()));
    BitSet back = new BitSet();
    layout(2048, 4096).readProgressChunk(record, "2", back);
    assertEquals(2 * ((4096 - 64) / 4 * 3 * 8) + 5, back.nextSetBit(0));
    assertEquals(1, back.cardinality());
    assertThrows(
        InvalidMessageException.class,
        () ->
            layout(2048, 4096)
                .readProgressChunk(Json.object().put("f", 7).put("b", ""), "from-8", back));
  }

  /**
   * A version before takes the last part of a chunk's key for its number: it must not find one
   * there.
   */
  @Test
  void earlierVersionsTakeNoChunkForOneOfTheirs() {
    String key = JobStore.progressKey("job-1", 0);
    assertThrows(
        NumberFormatException.class,
        () -> Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
  }

  /**
   * Any list of names that a body holds is stored, however small values are, and comes back in
   * full.
   */
  @ParameterizedTest
  @ValueSource(ints = {1024, 2048, 16384})
  void namesThatDoNotFitAreStoredInParts(int valueBytes) {
    JobStore jobStore = layout(valueBytes, 16384);
    List<String> names = IntStream.range(0, 5_000).mapToObj(i -> "job-" + i * 7L).toList();
    JobSpec spec =
        new JobSpec(
                "job-99",
                "c",
                "red",
                Priority.HIGH,
                1,
                1,
                0,
                1,
                "i",
                1,
                null,
                null,
                false,
                false,
                true,
                5,
                0,
                0,
                JobSpec.NO_DEADLINE)
            .withDependencies(names);
    JobStore.Acceptance acceptance = jobStore.acceptJob(spec, 5_000);
    JsonNode active = acceptance.transaction().body().path("then").get(0).path("data");
    assertTrue(Json.write(active).length() <= valueBytes);
    List<String> back = new ArrayList<>();
    for (String key : JobStore.dependenciesKeys("job-99", active)) {
      assertTrue(Json.write(acceptance.parts().get(key)).length() <= valueBytes);
      back.addAll(JobStore.names(acceptance.parts().get(key)));
    }
    assertEquals(names, back);
    assertEquals(List.of(), ActiveRecord.dependenciesInline(active));
    assertTrue(ActiveRecord.hasDependencies(active));
    JobStore.Acceptance small =
        jobStore.acceptJob(spec.withDependencies(List.of("job-1", "job-2")), 5_000);
    assertEquals(Map.of(), small.parts());
    assertEquals(
        List.of("job-1", "job-2"),
        ActiveRecord.dependenciesInline(
            small.transaction().body().path("then").get(0).path("data")));
  }

  /**
   * Refused for its size, the next write is smaller; a lease that has ended tells nothing of sizes.
   */
  @Test
  void limitsThatFallWithoutNoticeAreLearnt() {
    WriteLimits writeLimits =
        new WriteLimits(new PlatformConfiguration.StateLimits(100, 20, 16384, 12, 16384));
    Transaction transaction = new Transaction().put("a", Json.object().put("x", "y".repeat(9_000)));
    writeLimits.refused(transaction);
    assertTrue(
        writeLimits.maxValueBytes() < 9_000 && writeLimits.maxValueBytes() >= 4_000,
        "" + writeLimits.maxValueBytes());
    assertEquals(12, writeLimits.maxOperations(), "one change is not too many");
    Transaction many = new Transaction();
    for (int i = 0; i < 10; i++) {
      many.delete("k" + i);
    }
    writeLimits.refused(many);
    assertEquals(5, writeLimits.maxOperations());
    for (int i = 0; i < 20; i++) {
      writeLimits.refused(transaction);
      writeLimits.refused(many);
    }
    assertTrue(
        writeLimits.maxValueBytes() >= WriteLimits.MIN_VALUE_BYTES
            && writeLimits.maxOperations() >= WriteLimits.MIN_OPERATIONS);
    assertTrue(new Transaction().put("a", Json.object(), 7).isAttachedToLease());
    assertFalse(transaction.isAttachedToLease());
  }

  @Test
  void aBucketKeepsTheRateAndLetsUrgentOnesBorrow() {
    TokenBucket tokenBucket = new TokenBucket(10, 0);
    int taken = 0;
    for (int i = 0; i < 100; i++) {
      taken += tokenBucket.tryAcquire(1, i * 10_000L) ? 1 : 0;
    }
    assertTrue(taken >= 18 && taken <= 20, "a burst of ten and ten in the second: " + taken);
    tokenBucket.setRate(20, 1_000_000);
    int more = 0;
    for (int i = 100; i < 200; i++) {
      more += tokenBucket.tryAcquire(1, i * 10_000L) ? 1 : 0;
    }
    assertTrue(more >= 19 && more <= 21, "twice as many in the next: " + more);
    tokenBucket.acquireOnCredit(5, 1_000_000);
    assertFalse(tokenBucket.tryAcquire(1, 1_100_000), "what was borrowed is paid back first");
  }
}
