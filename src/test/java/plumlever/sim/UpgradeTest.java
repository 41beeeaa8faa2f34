package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.fleet.Job;
import plumlever.http.TaskCounts;
import plumlever.peer.PeerStatus;
import plumlever.settings.PlatformConfiguration;
import plumlever.store.RecordLayout;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.JobState;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/**
 * Tests the compatibility of this version with the production version: with records and messages
 * that the production version wrote, and with leaders of both versions in turn.
 */
final class UpgradeTest {
  private static final int CURRENT_VALUE_BYTES = 4096;
  private static final int ANNOUNCED_VALUE_BYTES = 2048;

  private static byte[] sample(String name) {
    try (InputStream in = UpgradeTest.class.getResourceAsStream("/production/" + name)) {
      return in.readAllBytes();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static Map<String, JsonNode> records() throws InvalidMessageException {
    Map<String, JsonNode> result = new LinkedHashMap<>();
    ObjectNode all = Json.parseObject(sample("records.json"));
    all.fieldNames().forEachRemaining(k -> result.put(k, all.get(k).path("data")));
    return result;
  }

  private static SimulatedCluster cluster(long seed) {
    return new SimulatedCluster(
        seed,
        3,
        List.of(
            new PlatformConfiguration.Team("red", 16, 48, 0, 0),
            new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
        false,
        InvariantChecker.CANCEL_MICROS,
        new PlatformConfiguration.StateLimits(
            200, 25, ANNOUNCED_VALUE_BYTES, 4, CURRENT_VALUE_BYTES));
  }

  @Test
  void readsRecordsOfEveryKind() throws InvalidMessageException {
    Set<String> kinds = new HashSet<>();
    for (Map.Entry<String, JsonNode> entry : records().entrySet()) {
      kinds.add(entry.getKey().substring(0, Math.max(0, entry.getKey().indexOf('/'))));
      if (entry.getKey().startsWith(RecordLayout.ACTIVE)) {
        JobSpec spec = RecordLayout.spec(entry.getValue());
        assertEquals(
            entry.getValue().path("job"),
            Json.parseObject(Json.write(spec.toJson())),
            "specification as stored and as read");
        assertTrue(RecordLayout.acceptedWallMicros(entry.getValue()) > 0);
        assertEquals(List.of(), spec.dependencies());
      } else if (entry.getKey().startsWith(RecordLayout.ENDED)) {
        assertTrue(RecordLayout.finalState(entry.getValue()).isPresent());
        assertEquals(
            0,
            RecordLayout.endedWallMicros(entry.getValue()),
            "end time, which the production version does not store");
      }
    }
    assertEquals(
        Set.of("active", "ended", "progress", "fleet", "begun", "hints", "office", ""), kinds);
  }

  /**
   * A new leader of this version takes over the records of the production version: jobs, progress,
   * machines, and the list of started jobs.
   */
  @Test
  void takesOverRecordsOfProductionVersion() throws InvalidMessageException {
    SimulatedCluster cluster = cluster(1);
    Map<String, JsonNode> records = records();
    records.keySet().removeIf(k -> k.startsWith("office/leader"));
    cluster.store.replaceAll("", records);
    cluster.cloud.outage = true;
    cluster.runFor(4);
    for (Map.Entry<String, JsonNode> entry : records.entrySet()) {
      if (entry.getKey().startsWith(RecordLayout.ACTIVE)) {
        assertTrue(
            cluster
                .leader()
                .actingLeader()
                .job(entry.getKey().substring(RecordLayout.ACTIVE.length()))
                .isPresent(),
            entry.getKey());
      }
    }
    BitSet packed = RecordLayout.readSharedChunk(records.get("progress/pack/0")).get("job-000030");
    cluster
        .leader()
        .actingLeader()
        .job("job-000030")
        .ifPresent(small -> assertEquals(packed, small.completedTasks()));
    Job large = cluster.leader().actingLeader().job("job-900001").orElseThrow();
    assertEquals(
        PreviousVersion.readProgress(cluster.store, CURRENT_VALUE_BYTES).get("job-900001"),
        large.completedTasks(),
        "progress read with the chunk size of the production version");
    assertTrue(large.completedCount() > 1000 && large.inherited());
    int machines = records.get("fleet/0").path("hosts").size();
    assertTrue(machines > 5);
    assertEquals(200, status(cluster, "job-000003", "aborted"));
  }

  private static int status(SimulatedCluster cluster, String uid, String expectedBody) {
    int[] status = new int[1];
    cluster
        .controllers
        .get("n1")
        .controller()
        .router()
        .handle(
            "GET",
            "/submissions/" + uid,
            new byte[0],
            (s, json, retry) -> {
              status[0] = s;
              assertTrue(json.contains(expectedBody), json);
            });
    cluster.runFor(1);
    return status[0];
  }

  @Test
  void peersReadEachOthersMessages() {
    byte[] theirs =
        HexFormat.of()
            .parseHex(new String(sample("peer-status.hex"), StandardCharsets.US_ASCII).trim());
    PeerStatus.Codec codec = new PeerStatus.Codec();
    PeerStatus read = codec.read(theirs);
    assertEquals("lever-1", read.label());
    assertEquals(41, read.term());
    assertTrue(read.leading());
    assertEquals(2_500_000, read.storeRefusedMicros());
    assertEquals(1_200, read.lateMicros());
    assertEquals(610, read.workers());
    assertEquals(new TaskCounts(0, 70_000), read.counts().get("job-7"));
    assertEquals(List.of(), read.confirmedCancellations());
    PeerStatus extended =
        new PeerStatus(
            read.label(),
            read.term(),
            true,
            read.storeRefusedMicros(),
            read.lateMicros(),
            read.workers(),
            read.counts(),
            List.of("job-000412", "job-5"));
    byte[] ours = codec.write(extended);
    assertArrayEquals(
        theirs,
        Arrays.copyOf(ours, theirs.length),
        "the fields known to the production version must keep their encoding");
    assertEquals(extended.confirmedCancellations(), codec.read(ours).confirmedCancellations());
  }

  static LongStream seeds() {
    return LongStream.range(1, 7);
  }

  /**
   * Leaders of the production version and of this version alternate. The production version fills
   * values up to the current size limit. At a time that depends on the seed, the limits of the
   * state service are lowered as announced in the settings. No task may be lost or started twice,
   * and this version must keep within the announced limits from the start.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void alternatesLeadershipWithProductionVersion(long seed) {
    SimulatedCluster cluster = cluster(300 + seed);
    FakeUsers users = new FakeUsers(cluster);
    PreviousVersion previousVersion = new PreviousVersion(cluster.store, CURRENT_VALUE_BYTES);
    List<JobSpec> all = submitManySmallAndOneLarge(cluster, users);
    int largest = 0;
    long limitsLoweredAtMicros = 60_000_000 + seed * 15_000_000;
    cluster.at(
        limitsLoweredAtMicros,
        () -> {
          cluster.store.maxValueBytes = ANNOUNCED_VALUE_BYTES;
          cluster.store.maxTransactionOps = 4;
        });
    for (int turn = 0; turn < 8; turn++) {
      cluster.runFor(18);
      largest = Math.max(largest, cluster.store.largestValueBytes);
      if (cluster.store.maxValueBytes > ANNOUNCED_VALUE_BYTES && turn % 2 == (seed & 1)) {
        cluster.controllers.values().stream()
            .filter(SimulatedController::leads)
            .forEach(m -> m.crash(2));
        cluster.runFor(0.1);
        previousVersion.rewriteRecords();
      } else {
        cluster.controllers.values().stream()
            .filter(SimulatedController::leads)
            .forEach(m -> m.crash(1));
      }
      assertNoProgressMisread(cluster);
    }
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(400);
    assertTrue(
        largest <= ANNOUNCED_VALUE_BYTES, "largest value written by this version: " + largest);
    assertEquals(0, cluster.store.malformedTransactions);
    assertEquals(List.of(), cluster.invariants.violations);
    for (JobSpec job : all) {
      assertEquals("done", cluster.invariants.lastReportedStatus.get(job.uid()), job.uid());
    }
    for (JsonNode stored : cluster.store.values("fleet/")) {
      assertTrue(
          Json.write(stored).length() <= ANNOUNCED_VALUE_BYTES,
          "size of a machine record that was not split: " + Json.write(stored).length());
    }
  }

  private static List<JobSpec> submitManySmallAndOneLarge(
      SimulatedCluster cluster, FakeUsers users) {
    List<JobSpec> all = new ArrayList<>();
    cluster.cloud.capacity = 60;
    for (int i = 0; i < 110; i++) {
      JobSpec job =
          TestJob.job(users.nextUid())
              .team(i % 3 == 0 ? "red" : "blue")
              .tasks(2 + i % 9)
              .cores(0.5)
              .memoryGb(0.5)
              .image("img-" + i % 3)
              .runS(20 + i % 90)
              .build();
      all.add(job);
      cluster.at(i * 300_000L, () -> users.submit(job, false));
    }
    JobSpec large =
        TestJob.job(users.nextUid())
            .jobClass("c1")
            .priority(Priority.HIGH)
            .tasks(6_000)
            .cores(0.02)
            .memoryGb(0.01)
            .runS(25)
            .build();
    all.add(large);
    users.submit(large, false);
    return all;
  }

  /** Asserts that every task which the production version would read as completed is completed. */
  private static void assertNoProgressMisread(SimulatedCluster cluster) {
    PreviousVersion.readProgress(cluster.store, CURRENT_VALUE_BYTES)
        .forEach(
            (uid, done) ->
                done.stream()
                    .forEach(
                        t ->
                            assertTrue(
                                cluster.invariants.completed(uid + "/" + t),
                                "the production version would read "
                                    + uid
                                    + "/"
                                    + t
                                    + " as completed")));
  }

  /**
   * A stored value that exceeds the current size limit is split into several records. At any time,
   * every entry of the former value must be in at least one record.
   */
  @Test
  void oversizedSharedRecordIsSplitWithoutLoss() {
    SimulatedCluster cluster = cluster(77);
    FakeUsers users = new FakeUsers(cluster);
    cluster.cloud.capacity = 200;
    for (int i = 0; i < 60; i++) {
      users.submit(TestJob.job(users.nextUid()).tasks(14).runS(150).build(), false);
    }
    cluster.runFor(60);
    Set<String> machineIds = machineIds(cluster);
    assertTrue(machineIds.size() > 60, "recorded machines: " + machineIds.size());
    cluster.leader().crash(1);
    cluster.runFor(0.05);
    new PreviousVersion(cluster.store, CURRENT_VALUE_BYTES).rewriteRecords();
    assertTrue(
        cluster.store.values("fleet/").stream()
            .anyMatch(v -> Json.write(v).length() > ANNOUNCED_VALUE_BYTES),
        "no machine record exceeds the lower size limit");
    cluster.store.maxValueBytes = ANNOUNCED_VALUE_BYTES;
    cluster.store.maxTransactionOps = 4;
    int[] checks = new int[1];
    for (int i = 0; i < 1_200; i++) {
      cluster.at(
          i * 20_000L,
          () -> {
            Set<String> now = machineIds(cluster);
            for (String machineId : machineIds) {
              if (!now.contains(machineId) && cluster.cloud.machines.containsKey(machineId)) {
                cluster.invariants.violations.add(machineId + " is in no machine record");
              }
            }
            checks[0]++;
          });
    }
    // The new leader crashes during the rewrite; its successor must finish the rewrite.
    cluster.at(4_300_000, () -> cluster.leader().crash(1));
    cluster.runFor(26);
    assertEquals(1_200, checks[0]);
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals(0, cluster.store.malformedTransactions);
    assertTrue(
        cluster.store.values("fleet/").stream()
            .allMatch(v -> Json.write(v).length() <= ANNOUNCED_VALUE_BYTES),
        "a machine record still exceeds the lower size limit");
  }

  private static Set<String> machineIds(SimulatedCluster cluster) {
    Set<String> result = new HashSet<>();
    cluster
        .store
        .values("fleet/")
        .forEach(v -> v.path("hosts").forEach(h -> result.add(h.path(0).asText())));
    return result;
  }

  /**
   * The limits of the state service are lowered without an announcement in the settings. A leader
   * must retry a refused transaction with smaller values and stay below the new limits afterwards.
   */
  @Test
  void unannouncedLowerLimitsAreKeptAfterFirstRefusals() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            78,
            3,
            List.of(new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
            false,
            InvariantChecker.CANCEL_MICROS,
            new PlatformConfiguration.StateLimits(200, 25, CURRENT_VALUE_BYTES, 8));
    FakeUsers users = new FakeUsers(cluster);
    cluster.cloud.capacity = 200;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 70; i++) {
      JobSpec job = TestJob.job(users.nextUid()).tasks(12).runS(40 + i).build();
      all.add(job);
      cluster.at(i * 900_000L, () -> users.submit(job, false));
    }
    cluster.runFor(45);
    assertTrue(cluster.store.largestValueBytes > ANNOUNCED_VALUE_BYTES);
    cluster.store.maxValueBytes = ANNOUNCED_VALUE_BYTES;
    cluster.store.maxTransactionOps = 4;
    // Each deletion of a machine rewrites a record that the machine shares with dozens of others.
    cluster.cloud.machines.keySet().stream().limit(4).toList().forEach(cluster.cloud::delete);
    cluster.runFor(60);
    int refused = cluster.store.malformedTransactions;
    assertTrue(refused > 0 && refused < 40, "refused transactions: " + refused);
    cluster.leader().crash(2);
    cluster.runFor(250);
    assertTrue(
        cluster.store.malformedTransactions - refused < 40,
        "refused transactions of the new leader: "
            + (cluster.store.malformedTransactions - refused));
    assertEquals(List.of(), cluster.invariants.violations);
    all.forEach(
        j -> assertEquals("done", cluster.invariants.lastReportedStatus.get(j.uid()), j.uid()));
  }

  /**
   * The production version stores the final state of a job without an end time. Jobs that depend on
   * such a job must still be released.
   */
  @Test
  void endStoredByProductionVersionReleasesDependents() {
    SimulatedCluster cluster = cluster(79);
    FakeUsers users = new FakeUsers(cluster);
    JobSpec first = TestJob.job(users.nextUid()).tasks(2).runS(5).build();
    cluster.runFor(5);
    users.submit(first, false);
    cluster.runFor(40);
    new PreviousVersion(cluster.store, CURRENT_VALUE_BYTES).rewriteRecords();
    cluster.leader().crash(1);
    JobSpec next =
        TestJob.job(users.nextUid())
            .tasks(2)
            .runS(5)
            .build()
            .withDependencies(List.of(first.uid()));
    users.submit(next, false);
    cluster.runFor(60);
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals("done", cluster.invariants.lastReportedStatus.get(next.uid()));
    assertEquals(JobState.DONE.wireName(), cluster.invariants.lastReportedStatus.get(first.uid()));
  }
}
