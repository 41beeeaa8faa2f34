package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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
 * Tests the compatibility with records and messages that former versions wrote. The samples in
 * {@code production/} were written by the version that deploy/service.toml names; the samples in
 * {@code first-with-dependencies/} were written by the first version with job dependencies. The
 * tests fail if a rename or another refactoring changes a stored or sent format.
 */
final class FormatSamplesTest {
  private static final String PRODUCTION = "production";
  private static final String FIRST_WITH_DEPENDENCIES = "first-with-dependencies";
  private static final int CURRENT_VALUE_BYTES = 4096;
  private static final int ANNOUNCED_VALUE_BYTES = 2048;

  private static byte[] sample(String version, String name) {
    try (InputStream in = FormatSamplesTest.class.getResourceAsStream("/" + version + "/" + name)) {
      return in.readAllBytes();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static Map<String, JsonNode> records(String version) throws InvalidMessageException {
    return records(version, "records.json");
  }

  private static Map<String, JsonNode> records(String version, String name)
      throws InvalidMessageException {
    Map<String, JsonNode> records = new LinkedHashMap<>();
    ObjectNode all = Json.parseObject(sample(version, name));
    all.fieldNames().forEachRemaining(key -> records.put(key, all.get(key).path("data")));
    return records;
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

  /** The samples of each version contain every kind of record that the version writes. */
  @Test
  void samplesContainEveryKindOfRecord() throws InvalidMessageException {
    Set<String> common =
        Set.of(
            "active",
            "ended",
            "progress",
            "fleet",
            "begun",
            "hints",
            "catalog",
            "office/leader",
            "office/term",
            "office/mandate",
            "office/stand-in");
    assertEquals(common, kinds(PRODUCTION));
    Set<String> withLists = new HashSet<>(common);
    withLists.add("waits");
    assertEquals(withLists, kinds(FIRST_WITH_DEPENDENCIES));
  }

  private static Set<String> kinds(String version) throws InvalidMessageException {
    Set<String> kinds = new HashSet<>();
    for (String key : records(version).keySet()) {
      int slash = key.indexOf('/');
      kinds.add(slash < 0 || key.startsWith("office/") ? key : key.substring(0, slash));
    }
    return kinds;
  }

  @ParameterizedTest
  @ValueSource(strings = {PRODUCTION, FIRST_WITH_DEPENDENCIES})
  void submissionsAreReadAsTheyWereWritten(String version) throws InvalidMessageException {
    int read = 0;
    for (Map.Entry<String, JsonNode> record : records(version).entrySet()) {
      if (record.getKey().startsWith(RecordLayout.ACTIVE)) {
        JobSpec spec = RecordLayout.spec(record.getValue());
        assertEquals(record.getValue().path("job"), Json.parseObject(Json.write(spec.toJson())));
        assertTrue(RecordLayout.acceptedWallMicros(record.getValue()) > 0);
        read++;
      }
    }
    assertTrue(read > 3);
  }

  @Test
  void endRecordsHoldTimeSinceFirstVersionWithDependencies() throws InvalidMessageException {
    Map<String, JsonNode> records = records(FIRST_WITH_DEPENDENCIES);
    JsonNode done = records.get("ended/job-000001");
    assertEquals(JobState.DONE, RecordLayout.finalState(done).orElseThrow());
    assertEquals(done.path("at_ms").asLong() * 1_000, RecordLayout.endedWallMicros(done));
    assertTrue(RecordLayout.endedWallMicros(done) > 0);
    assertEquals(
        JobState.CANCELLED, RecordLayout.finalState(records.get("ended/job-000005")).orElseThrow());
  }

  /**
   * A new leader resumes dependency chains that a former version stored. One of the chains has a
   * dependency list that spans several records.
   */
  @Test
  void dependencyChainsOfFormerVersionResume() throws InvalidMessageException {
    SimulatedCluster cluster = cluster(21);
    Map<String, JsonNode> records = records(FIRST_WITH_DEPENDENCIES);
    records.remove("office/leader");
    // All jobs in the long dependency list had ended, but the sample contains the end records of
    // only a tenth of these jobs.
    for (String key : List.copyOf(records.keySet())) {
      if (key.startsWith("waits/")) {
        RecordLayout.dependencyIds(records.get(key))
            .forEach(name -> records.putIfAbsent("ended/" + name, Json.object().put("s", "done")));
      }
    }
    records.remove("ended/job-000002");
    cluster.store.replaceAll("", records);
    cluster.cloud.outage = true;
    cluster.runFor(4);
    Job slow = job(cluster, "job-000002");
    Job next = job(cluster, "job-000003");
    Job last = job(cluster, "job-000004");
    Job large = job(cluster, "job-000006");
    Job many = job(cluster, "job-000007");
    assertFalse(slow.waitsForDependencies());
    assertTrue(slow.inherited() && large.inherited(), "not restored as started");
    assertTrue(
        next.waitsForDependencies() && last.waitsForDependencies() && many.waitsForDependencies());
    assertEquals(
        Priority.HIGH, slow.priority(), "priority inherited from the last job of the chain");
    assertTrue(large.completedCount() > 10, "completed tasks: " + large.completedCount());
    assertTrue(queryStatus(cluster, "job-000005").contains("\"aborted\""));
    assertTrue(queryStatus(cluster, "job-000004").contains("\"pending\""));
    storeFinalState(cluster, "job-000002");
    cluster.runFor(4);
    assertFalse(
        next.waitsForDependencies() || many.waitsForDependencies(),
        "not released by the end of the last dependency");
    assertTrue(last.waitsForDependencies());
  }

  /**
   * The production version splits the progress of a large job into chunks whose size follows from
   * its limit for value sizes. If this version assumed another chunk size, it would attribute the
   * bits of later chunks to the wrong tasks.
   */
  @Test
  void progressChunksAreReadWithOriginalChunkSize() throws InvalidMessageException {
    SimulatedCluster cluster = cluster(22);
    Map<String, JsonNode> records = records(PRODUCTION, "large-progress.json");
    cluster.store.replaceAll("", records);
    cluster.cloud.outage = true;
    cluster.runFor(4);
    BitSet done = job(cluster, "job-000001").completedTasks();
    assertEquals(
        PreviousVersion.readProgress(cluster.store, CURRENT_VALUE_BYTES).get("job-000001"), done);
    // The first chunk covers 24,192 tasks: one bit for each task, stored as base64 in 4096 - 64
    // bytes.
    assertTrue(
        done.length() > 24_192, "highest completed task in the first chunk only: " + done.length());
  }

  private static Job job(SimulatedCluster cluster, String uid) {
    Optional<Job> job = cluster.leader().actingLeader().job(uid);
    assertTrue(job.isPresent(), uid);
    return job.get();
  }

  private static void storeFinalState(SimulatedCluster cluster, String uid) {
    String body =
        """
        {"guards":[],"then":[{"put":"ended/%s","data":{"s":"done"}},{"drop":"active/%s"}]}\
        """
            .formatted(uid, uid);
    cluster.store.handle("test", "POST", "/txn", body, (status, text) -> assertEquals(200, status));
  }

  private static String queryStatus(SimulatedCluster cluster, String uid) {
    StringBuilder response = new StringBuilder();
    cluster
        .controllers
        .get("n1")
        .controller()
        .router()
        .handle(
            "GET",
            "/submissions/" + uid,
            new byte[0],
            (status, json, retryAfterS) -> response.append(status).append(json));
    cluster.runFor(1);
    return response.toString();
  }

  @Test
  void peerMessagesKeepTheirEncoding() {
    byte[] theirs =
        HexFormat.of()
            .parseHex(
                new String(
                        sample(FIRST_WITH_DEPENDENCIES, "peer-status.hex"),
                        StandardCharsets.US_ASCII)
                    .trim());
    PeerStatus.Codec codec = new PeerStatus.Codec();
    PeerStatus read = codec.read(theirs);
    assertEquals("lever-1", read.label());
    assertEquals(41, read.term());
    assertTrue(read.leading());
    assertEquals(610, read.workers());
    assertEquals(new TaskCounts(3, 1), read.counts().get("job-12"));
    assertEquals(new TaskCounts(0, 70_000), read.counts().get("job-7"));
    assertEquals(List.of("job-000412", "job-5"), read.confirmedCancellations());
    assertArrayEquals(theirs, codec.write(read));
  }

  /**
   * This version renews no lease under the delegation record of a former version, because that
   * record contains no fencing token. Such a renewal could prolong a worker incarnation (the period
   * between two expirations of the worker's lease) in which a cancelled start command may still
   * arrive. A former version finds no zones in the present record and renews no lease either. In
   * both cases the leases lapse, which is safe.
   */
  @ParameterizedTest
  @ValueSource(strings = {PRODUCTION, FIRST_WITH_DEPENDENCIES})
  void delegationRecordsOfOtherVersionRenewNoLease(String version) throws InvalidMessageException {
    SimulatedCluster cluster = cluster(11);
    FakeUsers users = new FakeUsers(cluster);
    cluster.runFor(5);
    for (int i = 0; i < 10; i++) {
      users.submit(
          TestJob.job(users.nextUid()).tasks(8).cores(2).memoryGb(2).runS(90).build(), false);
    }
    cluster.runFor(45);
    String leader = cluster.leader().platform.label();
    List<String> zoneMachines = new ArrayList<>();
    for (FakeCloud.Vm machine : cluster.cloud.machines.values()) {
      if (machine.zone.equals("a") && machine.worker != null) {
        zoneMachines.add(machine.id);
      }
    }
    zoneMachines.forEach(machine -> cluster.network.setBlocked(leader, machine, true));
    cluster.runFor(25);
    Map<String, JsonNode> samples = records(version);
    assertEquals(
        fields(samples.get("office/stand-in")),
        fields(cluster.store.entries("office/stand-in").get("office/stand-in")),
        "fields of the announcement record");
    JsonNode written = cluster.store.entries("office/mandate").get("office/mandate");
    assertEquals(List.of("term", "zones"), fields(written));
    assertEquals(List.of("zone", "token"), fields(written.path("zones").path(0)));
    assertTrue(
        samples.get("office/mandate").path("sites").size() > 0,
        "no zones in the field that the former version reads");
    assertTrue(
        written.path("sites").isMissingNode(),
        "the present record contains the field that the former version reads");
    assertTrue(
        delegatedRenewals(cluster) > 5,
        "leases renewed under the present record: " + delegatedRenewals(cluster));
    cluster.store.overwriteSilently("office/mandate", samples.get("office/mandate"));
    cluster.runFor(4);
    long before = delegatedRenewals(cluster);
    cluster.runFor(15);
    assertEquals(
        before, delegatedRenewals(cluster), "leases renewed under the former version's record");
  }

  private static List<String> fields(JsonNode record) {
    List<String> fields = new ArrayList<>();
    record.fieldNames().forEachRemaining(fields::add);
    return fields;
  }

  private static long delegatedRenewals(SimulatedCluster cluster) {
    return cluster.controllers.values().stream()
        .mapToLong(
            controller -> controller.controller().metrics().counter("leases_renewed_for_leader"))
        .sum();
  }
}
