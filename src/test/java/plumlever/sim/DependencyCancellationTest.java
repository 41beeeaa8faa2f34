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

/** Cancelling a job cancels all that depend on it, whoever leads and whatever fails. */
final class DependencyCancellationTest extends DependencyScenario {
  /**
   * Accepted at one controller, cancelled at another, asked at a third: from the moment one user is
   * told all say the same.
   */
  @Test
  void everyControllerSaysTheSameAtOnce() {
    JobSpec root = idle(1, 400);
    JobSpec middle = idle(1, 5, root);
    JobSpec other = idle(1, 5);
    JobSpec last = job(1, 5, 60, Priority.HIGH, List.of(middle.uid(), other.uid()));
    assertEquals(201, submitAt("n0", root).status());
    assertEquals(201, submitAt("n1", middle).status());
    assertEquals(201, submitAt("n0", other).status());
    assertEquals(201, submitAt("n2", last).status());
    for (String controller : cluster.controllers.keySet()) {
      assertTrue(
          ask(controller, "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    }
    assertTrue(
        ask("n1", "POST", "/submissions/" + root.uid() + "/abort", "").body().contains("aborted"));
    for (String controller : cluster.controllers.keySet()) {
      for (JobSpec job : List.of(middle, last, root)) {
        Answer answer = ask(controller, "GET", "/submissions/" + job.uid(), null);
        assertTrue(
            answer.status() == 200 && answer.body().contains("\"aborted\""),
            controller + " says " + answer.body());
        assertTrue(
            ask(controller, "POST", "/submissions", Json.write(job.toJson()))
                .body()
                .contains("\"aborted\""));
      }
    }
    JobSpec after = idle(1, 5, middle);
    Answer accepted = submitAt("n0", after);
    assertEquals(201, accepted.status(), "accepted all the same");
    assertTrue(accepted.body().contains("\"aborted\""), accepted.body());
    cluster.play(30);
    assertEquals(
        0,
        cluster.store.entries("active/").keySet().stream()
            .filter(k -> !k.endsWith(other.uid()))
            .count(),
        "stored for all of them");
  }

  /** No leader is alive: the controllers left derive and store it all the same. */
  @Test
  void aCancellationReachesDependentsWithoutALeader() {
    JobSpec root = idle(1, 400);
    JobSpec last = idle(1, 5, root);
    submit(root, last);
    cluster.play(10);
    SimulatedController leader = cluster.leader();
    String other =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader.platform.label()))
            .findFirst()
            .orElseThrow();
    leader.crash(60);
    users.cancelled(root);
    assertTrue(
        ask(other, "POST", "/submissions/" + root.uid() + "/abort", "").body().contains("aborted"));
    assertTrue(
        ask(other, "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    assertTrue(
        cluster.controllers.values().stream().noneMatch(SimulatedController::leads),
        "nobody leads yet");
    cluster.play(60);
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** If the cancellation came too late, what comes after goes on. */
  @Test
  void aCancellationThatIsAnsweredDoneStopsNothing() {
    JobSpec root = idle(1, 3);
    JobSpec last = idle(1, 3, root);
    submit(root);
    cluster.play(40);
    assertTold("done", root);
    submit(last);
    assertTrue(
        ask("n2", "POST", "/submissions/" + root.uid() + "/abort", "").body().contains("\"done\""));
    cluster.play(40);
    assertTold("done", last);
  }

  /**
   * Right after the root's cancellation was confirmed the state service is out for longer than a
   * cancellation has.
   */
  @Test
  void anOutageRightAfterTheRootsCancellation() {
    JobSpec root = idle(4, 200);
    JobSpec next = idle(2, 5, root);
    JobSpec last = job(1, 5, 90, Priority.HIGH, List.of(next.uid()));
    submit(root, next, last);
    cluster.play(30);
    assertTrue(cluster.invariants.began(root.uid()));
    List<Integer> status = new ArrayList<>();
    users.cancelAt(
        new Endpoint("n0", 1),
        root.uid(),
        s -> {
          status.add(s);
          cluster.store.outage = true;
        });
    cluster.play(1);
    assertEquals(List.of(200), status);
    assertTrue(cluster.store.outage);
    cluster.at(InvariantChecker.CANCEL_MICROS + 12_000_000, cluster.store::endOutage);
    cluster.play(InvariantChecker.CANCEL_MICROS / 1e6 + 40);
    assertTold("aborted", root, next, last);
  }

  /**
   * Cancellations meet the very end of predecessors: one transaction decides, and all that follows
   * agrees with it.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void cancellationsAtTheEndOfPredecessors(long seed) {
    deployment(seed, new PlatformConfiguration.StateLimits(200, 25, 4096, 8));
    users.closeLooks = true;
    users.meetEnds(0.9);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      List<JobSpec> list = pipeline();
      all.addAll(list);
      cluster.at(i * 5_000_000L, () -> users.pipeline(list, false));
    }
    cluster.play(240);
    assertEquals(List.of(), cluster.invariants.broken);
    Map<String, Long> ends =
        all.stream().collect(Collectors.groupingBy(this::told, Collectors.counting()));
    assertEquals(
        all.size(), ends.getOrDefault("done", 0L) + ends.getOrDefault("aborted", 0L), "" + ends);
    assertTrue(
        ends.getOrDefault("aborted", 0L) > 3 && ends.getOrDefault("done", 0L) > 3, "" + ends);
  }

  /**
   * The check can fail: controllers that are not told of ends go on calling a job pending after its
   * root was cancelled.
   */
  @Test
  void withoutTheChangesJobsAreOrphaned() {
    JobSpec root = idle(1, 400);
    JobSpec last = idle(1, 5, root);
    submit(root, last);
    cluster.play(10);
    cluster
        .controllers
        .keySet()
        .forEach(
            n ->
                assertTrue(
                    ask(n, "GET", "/submissions/" + last.uid(), null).body().contains("pending")));
    cluster.store.untold = "ended/";
    List<Integer> status = new ArrayList<>();
    SimulatedController leader = cluster.leader();
    leader.stall(60);
    List<String> others =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader.platform.label()))
            .toList();
    users.cancelAt(new Endpoint(others.get(0), 1), root.uid(), status::add);
    cluster.play(0.1);
    assertEquals(List.of(200), status);
    long asked = cluster.now();
    Answer answer = ask(others.get(1), "GET", "/submissions/" + last.uid(), null);
    cluster.invariants.toldAnywhere(
        last.uid(), answer.body().contains("pending") ? "pending" : "aborted", asked);
    assertTrue(
        cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("orphaned")),
        "the checks must see it: " + told(last));
  }
}
