package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/**
 * Tests that the cancellation of a job cancels all its direct and indirect dependents, also without
 * a leader and during faults.
 */
final class DependencyCancellationTest extends DependencyScenario {
  /**
   * Jobs are accepted, cancelled and queried at different controllers. Once one controller has
   * confirmed the cancellation, all controllers must report the dependents as cancelled.
   */
  @Test
  void allControllersReportCancellationAtOnce() {
    JobSpec root = idleJob(1, 400);
    JobSpec middle = idleJob(1, 5, root);
    JobSpec other = idleJob(1, 5);
    JobSpec last = job(1, 5, 60, Priority.HIGH, List.of(middle.uid(), other.uid()));
    assertEquals(201, submitAt("n0", root).status());
    assertEquals(201, submitAt("n1", middle).status());
    assertEquals(201, submitAt("n0", other).status());
    assertEquals(201, submitAt("n2", last).status());
    for (String controller : cluster.controllers.keySet()) {
      assertTrue(
          request(controller, "GET", "/submissions/" + last.uid(), null)
              .body()
              .contains("pending"));
    }
    assertTrue(
        request("n1", "POST", "/submissions/" + root.uid() + "/abort", "")
            .body()
            .contains("aborted"));
    for (String controller : cluster.controllers.keySet()) {
      for (JobSpec job : List.of(middle, last, root)) {
        Response response = request(controller, "GET", "/submissions/" + job.uid(), null);
        assertTrue(
            response.status() == 200 && response.body().contains("\"aborted\""),
            controller + " answered " + response.body());
        assertTrue(
            request(controller, "POST", "/submissions", Json.write(job.toJson()))
                .body()
                .contains("\"aborted\""));
      }
    }
    JobSpec after = idleJob(1, 5, middle);
    Response accepted = submitAt("n0", after);
    assertEquals(201, accepted.status(), "submission with a cancelled dependency");
    assertTrue(accepted.body().contains("\"aborted\""), accepted.body());
    cluster.runFor(30);
    assertEquals(
        0,
        cluster.store.entries("active/").keySet().stream()
            .filter(k -> !k.endsWith(other.uid()))
            .count(),
        "active records of cancelled jobs");
  }

  /** Without a leader the remaining controllers derive and store the cancellation of dependents. */
  @Test
  void cancellationReachesDependentsWithoutLeader() {
    JobSpec root = idleJob(1, 400);
    JobSpec last = idleJob(1, 5, root);
    submit(root, last);
    cluster.runFor(10);
    SimulatedController leader = cluster.leader();
    String other =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader.platform.label()))
            .findFirst()
            .orElseThrow();
    leader.crash(60);
    users.recordCancellation(root);
    assertTrue(
        request(other, "POST", "/submissions/" + root.uid() + "/abort", "")
            .body()
            .contains("aborted"));
    assertTrue(
        request(other, "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    assertTrue(
        cluster.controllers.values().stream().noneMatch(SimulatedController::leads),
        "a new leader was elected before the end of the check");
    cluster.runFor(60);
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /** A cancellation that arrives after the job has completed does not affect its dependents. */
  @Test
  void lateCancellationDoesNotAffectDependents() {
    JobSpec root = idleJob(1, 3);
    JobSpec last = idleJob(1, 3, root);
    submit(root);
    cluster.runFor(40);
    assertReportedStatus("done", root);
    submit(last);
    assertTrue(
        request("n2", "POST", "/submissions/" + root.uid() + "/abort", "")
            .body()
            .contains("\"done\""));
    cluster.runFor(40);
    assertReportedStatus("done", last);
  }

  /**
   * The state service fails immediately after the cancellation of the root job is confirmed. The
   * outage lasts longer than the time within which a cancelled job's tasks must end.
   */
  @Test
  void outageAfterCancellationOfRoot() {
    JobSpec root = idleJob(4, 200);
    JobSpec next = idleJob(2, 5, root);
    JobSpec last = job(1, 5, 90, Priority.HIGH, List.of(next.uid()));
    submit(root, next, last);
    cluster.runFor(30);
    assertTrue(cluster.invariants.hasStarted(root.uid()));
    List<Integer> status = new ArrayList<>();
    users.cancelAt(
        new Endpoint("n0", 1),
        root.uid(),
        s -> {
          status.add(s);
          cluster.store.outage = true;
        });
    cluster.runFor(1);
    assertEquals(List.of(200), status);
    assertTrue(cluster.store.outage);
    cluster.at(InvariantChecker.CANCEL_MICROS + 12_000_000, cluster.store::endOutage);
    cluster.runFor(InvariantChecker.CANCEL_MICROS / 1e6 + 40);
    assertReportedStatus("aborted", root, next, last);
  }

  /**
   * Cancellations race with the completion of the cancelled jobs. One transaction decides the final
   * state, and the states of all dependents must agree with that state.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void cancellationsRaceWithCompletion(long seed) {
    deploy(seed, new PlatformConfiguration.StateLimits(200, 25, 4096, 8));
    users.queryAllControllersOnChange = true;
    users.cancelAndQueryAtCompletion(0.9);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      List<JobSpec> list = pipeline();
      all.addAll(list);
      cluster.at(i * 5_000_000L, () -> users.submitPipeline(list, false));
    }
    cluster.runFor(240);
    assertEquals(List.of(), cluster.invariants.violations);
    Map<String, Long> ends =
        all.stream().collect(Collectors.groupingBy(this::reportedStatus, Collectors.counting()));
    assertEquals(
        all.size(), ends.getOrDefault("done", 0L) + ends.getOrDefault("aborted", 0L), "" + ends);
    assertTrue(
        ends.getOrDefault("aborted", 0L) > 3 && ends.getOrDefault("done", 0L) > 3, "" + ends);
  }

  /**
   * Verifies that the invariant checks report dependents that stay pending after their root job was
   * cancelled. In this test, the controllers are not notified of ended jobs.
   */
  @Test
  void withoutNotificationsDependentsAreOrphaned() {
    JobSpec root = idleJob(1, 400);
    JobSpec last = idleJob(1, 5, root);
    submit(root, last);
    cluster.runFor(10);
    cluster
        .controllers
        .keySet()
        .forEach(
            n ->
                assertTrue(
                    request(n, "GET", "/submissions/" + last.uid(), null)
                        .body()
                        .contains("pending")));
    cluster.store.prefixWithoutChanges = "ended/";
    List<Integer> status = new ArrayList<>();
    SimulatedController leader = cluster.leader();
    leader.stallDecisions(60);
    List<String> others =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader.platform.label()))
            .toList();
    users.cancelAt(new Endpoint(others.get(0), 1), root.uid(), status::add);
    cluster.runFor(0.1);
    assertEquals(List.of(200), status);
    long sentMicros = cluster.now();
    Response response = request(others.get(1), "GET", "/submissions/" + last.uid(), null);
    cluster.invariants.checkResponse(
        last.uid(), response.body().contains("pending") ? "pending" : "aborted", sentMicros);
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("orphaned")),
        "the invariant check did not detect the orphaned job: " + reportedStatus(last));
  }
}
