package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import plumlever.sim.TestJob;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/** Tests how jobs' dependency lists and progress are divided into records of the state service. */
final class RecordLayoutTest {
  private static RecordLayout recordLayout(int valueBytes, int currentValueBytes) {
    return new RecordLayout(
        new WriteLimits(
            new PlatformConfiguration.StateLimits(100, 20, valueBytes, 4, currentValueBytes)));
  }

  /**
   * The progress of a job with 100,000 tasks does not fit one value. Each chunk must fit, and the
   * chunks together must hold every finished task.
   */
  @ParameterizedTest
  @ValueSource(ints = {1024, 2048, 4096, 16384})
  void chunksOfTheLargestJobFitTheValueLimit(int valueBytes) throws InvalidMessageException {
    RecordLayout recordLayout = recordLayout(valueBytes, 16384);
    BitSet done = new BitSet();
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 100_000; i++) {
      done.set(i, random.nextBoolean());
    }
    done.set(99_999);
    BitSet restored = new BitSet();
    int chunks = 0;
    for (int first = 0; first < 100_000; first += recordLayout.tasksPerChunk()) {
      JsonNode chunk = recordLayout.progressChunk(done, first, recordLayout.tasksPerChunk());
      assertTrue(Json.write(chunk).length() <= valueBytes);
      String key = RecordLayout.progressKey("job-1", first);
      // A progress chunk is readable with another value size limit than it was written with.
      recordLayout(1024, 4096)
          .readProgressChunk(chunk, key.substring(key.lastIndexOf('/') + 1), restored);
      chunks++;
    }
    assertEquals(done, restored);
    assertEquals(
        (100_000 + recordLayout.tasksPerChunk() - 1) / recordLayout.tasksPerChunk(), chunks);
  }

  /**
   * Earlier versions numbered the chunks of a job's progress and split them by the current value
   * limit in their settings, regardless of the announced limit.
   */
  @Test
  void readsTheChunksOfEarlierVersions() throws InvalidMessageException {
    BitSet bits = new BitSet();
    bits.set(5);
    JsonNode record =
        Json.object().put("b", Base64.getEncoder().encodeToString(bits.toByteArray()));
    BitSet restored = new BitSet();
    recordLayout(2048, 4096).readProgressChunk(record, "2", restored);
    assertEquals(2 * ((4096 - 64) / 4 * 3 * 8) + 5, restored.nextSetBit(0));
    assertEquals(1, restored.cardinality());
  }

  @Test
  void rejectsAChunkThatDoesNotMatchItsKey() {
    JsonNode fromSeven = Json.object().put("f", 7).put("b", "");
    assertThrows(
        InvalidMessageException.class,
        () -> recordLayout(2048, 4096).readProgressChunk(fromSeven, "from-8", new BitSet()));
  }

  /**
   * An earlier version parses the last segment of a progress chunk's key as the chunk number. That
   * segment of the current keys must not parse as a number, so that an earlier version skips them.
   */
  @Test
  void earlierVersionsSkipCurrentChunks() {
    String key = RecordLayout.progressKey("job-1", 0);
    assertThrows(
        NumberFormatException.class,
        () -> Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
  }

  private static JobSpec spec(List<String> dependencies) {
    return TestJob.job("job-99")
        .jobClass("c")
        .team("red")
        .priority(Priority.HIGH)
        .image("i")
        .runS(5)
        .build()
        .withDependencies(dependencies);
  }

  private static JsonNode activeRecord(RecordLayout.Acceptance acceptance) {
    return acceptance.transaction().body().path("then").get(0).path("data");
  }

  /**
   * A dependency list of the maximum length is stored without loss, even if the value limit is
   * small.
   */
  @ParameterizedTest
  @ValueSource(ints = {1024, 2048, 16384})
  void largeDependencyListsAreStoredInParts(int valueBytes) {
    List<String> dependencies = IntStream.range(0, 5_000).mapToObj(i -> "job-" + i * 7L).toList();

    RecordLayout.Acceptance acceptance =
        recordLayout(valueBytes, 16384).acceptJob(spec(dependencies), 5_000).orElseThrow();

    JsonNode active = activeRecord(acceptance);
    assertTrue(Json.write(active).length() <= valueBytes);
    List<String> restored = new ArrayList<>();
    for (String key : RecordLayout.dependencyListKeys("job-99", active)) {
      assertTrue(Json.write(acceptance.parts().get(key)).length() <= valueBytes);
      restored.addAll(RecordLayout.dependencyIds(acceptance.parts().get(key)));
    }
    assertEquals(dependencies, restored);
    assertEquals(List.of(), ActiveRecord.inlineDependencies(active));
    assertTrue(ActiveRecord.hasDependencies(active));
  }

  @ParameterizedTest
  @ValueSource(ints = {1024, 2048, 16384})
  void smallDependencyListsAreStoredInline(int valueBytes) {
    List<String> dependencies = List.of("job-1", "job-2");

    RecordLayout.Acceptance acceptance =
        recordLayout(valueBytes, 16384).acceptJob(spec(dependencies), 5_000).orElseThrow();

    assertEquals(Map.of(), acceptance.parts());
    assertEquals(dependencies, ActiveRecord.inlineDependencies(activeRecord(acceptance)));
  }
}
