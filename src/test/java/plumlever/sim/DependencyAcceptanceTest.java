package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import plumlever.fleet.Job;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/** What the users' page asks of jobs that depend on others, sentence by sentence. */
final class DependencyAcceptanceTest extends DependencyScenario {
  private static final List<String> CONTROLLERS = List.of("n0", "n1", "n2");
  private static final double REMOVED_WITHIN_S = 1_600;

  private JobSpec ofTeam(String team, Priority priority, int tasks, double runS, JobSpec... names) {
    return TestJob.job(users.nextUid())
        .jobClass("c1")
        .team(team)
        .priority(priority)
        .tasks(tasks)
        .memoryGb(2)
        .runS(runS)
        .build()
        .withDependencies(List.of(names).stream().map(JobSpec::uid).toList());
  }

  /** A job with so many names that they do not fit its record: most of them have ended. */
  private JobSpec withLongList(JobSpec running) {
    Map<String, JsonNode> ended = new TreeMap<>(cluster.store.entries("ended/"));
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      String uid = "job-6" + (10_000 + i);
      names.add(uid);
      ended.put("ended/" + uid, Json.object().put("s", "done"));
      cluster.invariants.submitted.put(uid, idle(1, 1));
      cluster.invariants.complete(uid + "/0");
    }
    cluster.store.rewrite("ended/", ended);
    names.add(running.uid());
    return job(1, 2, JobSpec.NO_DEADLINE, Priority.STANDARD, names);
  }

  private void smallValues() {
    deployment(7, new PlatformConfiguration.StateLimits(200, 25, 2048, 4, 4096));
    cluster.store.valueBytes = 2048;
    cluster.store.transactionOps = 4;
  }

  @Test
  void namesMayBeInAnyStateAndOfAnotherTeam() {
    JobSpec done = ofTeam("red", Priority.IDLE, 1, 2);
    JobSpec cancelled = ofTeam("red", Priority.IDLE, 1, 300);
    JobSpec running = ofTeam("red", Priority.IDLE, 1, 90);
    submit(done, cancelled, running);
    cluster.play(45);
    assertTold("done", done);
    users.cancelled(cancelled);
    assertEquals(200, ask("n1", "POST", "/submissions/" + cancelled.uid() + "/abort", "").status());
    JobSpec after = ofTeam("blue", Priority.HIGH, 1, 2, done, running);
    JobSpec dependent = ofTeam("blue", Priority.HIGH, 1, 2, done, cancelled, running);
    assertEquals(201, submitAt("n2", after).status());
    Answer answer = submitAt("n0", dependent);
    assertEquals(201, answer.status(), "accepted all the same");
    assertTrue(answer.body().contains("\"aborted\""), answer.body());
    cluster.play(100);
    assertTrue(ask("n1", "GET", "/submissions/" + after.uid(), null).body().contains("\"done\""));
    JobSpec longAfter = ofTeam("blue", Priority.HIGH, 1, 2, cancelled);
    assertTrue(submitAt("n1", longAfter).body().contains("\"aborted\""));
    assertEquals(List.of(), cluster.invariants.broken);
  }

  @Test
  void aJobReleasedAfterItsDeadlineStillRuns() {
    JobSpec first = idle(1, 90);
    JobSpec last = job(2, 3, 20, Priority.HIGH, List.of(first.uid()));
    submit(first, last);
    cluster.play(140);
    assertTold("done", first, last);
  }

  /**
   * Minutes of waiting count for nothing: no machine is rented for it, nobody takes it for
   * neglected, and once it is released it starts like a job that has just come, also under a new
   * leader.
   */
  @Test
  void aJobThatWaitsForMinutesCountsFromItsRelease() {
    JobSpec first = ofTeam("blue", Priority.IDLE, 1, 330);
    JobSpec last = ofTeam("red", Priority.IDLE, 40, 4, first);
    submit(first, last);
    cluster.play(60);
    int machines = cluster.cloud.machines.size();
    assertTrue(machines <= 2, "for one task: " + machines);
    cluster.play(200);
    Job waiting = cluster.leader().actingLeader().job(last.uid()).orElseThrow();
    assertTrue(waiting.waitsForDependencies());
    assertEquals("pending", told(last));
    assertTrue(cluster.cloud.machines.size() <= machines, "none for a job that waits");
    cluster.leader().crash(1);
    cluster.play(20);
    JobSpec urgent = ofTeam("red", Priority.HIGH, 40, 30);
    submit(urgent);
    cluster.play(30);
    assertTrue(
        cluster.invariants.began(urgent.uid()), "its age takes no precedence while it waits");
    long released = 0;
    for (int i = 0; i < 1_300 && released == 0; i++) {
      cluster.play(0.1);
      released =
          cluster
              .leader()
              .actingLeader()
              .job(last.uid())
              .filter(job -> !job.waitsForDependencies())
              .map(Job::releasedMicros)
              .orElse(0L);
    }
    assertTrue(cluster.now() - released < 10_000_000, "its times begin with its release");
    cluster.play(60);
    assertTold("done", first, urgent, last);
  }

  /** A leader that takes over a released job knows when that was, not when it was submitted. */
  @Test
  void aNewLeaderKnowsWhenAJobWasReleased() {
    JobSpec first = idle(1, 60);
    JobSpec last = idle(2, 300, first);
    submit(first, last);
    cluster.play(130);
    assertTold("done", first);
    long released = cluster.leader().actingLeader().job(last.uid()).orElseThrow().releasedMicros();
    cluster.leader().crash(1);
    cluster.play(20);
    Job job = cluster.leader().actingLeader().job(last.uid()).orElseThrow();
    assertTrue(released - job.acceptedMicros() > 50_000_000);
    assertEquals(released / 1e6, job.releasedMicros() / 1e6, 2);
  }

  /**
   * Cancelled in the middle of a diamond, asked in every way at every controller right after that.
   */
  @Test
  void whatNeedsACancelledJobIsCancelledAndNothingElse() {
    JobSpec root = idle(1, 60);
    JobSpec left = idle(1, 400, root);
    JobSpec right = idle(1, 5, root);
    JobSpec joined = idle(1, 5, left, right);
    JobSpec last = idle(1, 5, joined);
    JobSpec beside = idle(1, 5, right);
    submit(root, left, right, joined, last, beside);
    cluster.play(10);
    CONTROLLERS.forEach(n -> ask(n, "GET", "/submissions/" + last.uid(), null));
    users.cancelled(left);
    assertTrue(
        ask("n2", "POST", "/submissions/" + left.uid() + "/abort", "")
            .body()
            .contains("\"aborted\""));
    for (String controller : CONTROLLERS) {
      assertTrue(
          ask(controller, "GET", "/submissions/" + joined.uid(), null)
              .body()
              .contains("\"aborted\""));
      assertTrue(submitAt(controller, last).body().contains("\"aborted\""), "a repeat");
      assertTrue(
          ask(controller, "POST", "/submissions/" + last.uid() + "/abort", "")
              .body()
              .contains("\"aborted\""));
    }
    cluster.play(140);
    assertTold("done", root, right, beside);
    assertFalse(cluster.invariants.began(joined.uid()) || cluster.invariants.began(last.uid()));
  }

  /** The transaction of the cancellation is carried out and its answer lost. */
  @Test
  void aCancellationWithoutAnAnswerIsSettledAlongTheChain() {
    JobSpec root = idle(1, 400);
    JobSpec last = idle(1, 5, root);
    submit(root, last);
    cluster.play(10);
    cluster.store.answerLostOnce = "ended/" + root.uid();
    users.cancelled(root);
    Answer answer = ask("n1", "POST", "/submissions/" + root.uid() + "/abort", "");
    assertEquals(1, cluster.store.appliedUnanswered);
    assertTrue(answer.body().contains("\"aborted\""), answer.body());
    for (String controller : CONTROLLERS) {
      assertTrue(
          ask(controller, "GET", "/submissions/" + last.uid(), null)
              .body()
              .contains("\"aborted\""));
    }
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /**
   * A controller that no longer hears what ends refuses to answer instead of telling what it knew.
   */
  @Test
  void aControllerWithAnOldViewTellsNothingOlder() {
    JobSpec root = idle(1, 400);
    JobSpec last = idle(1, 5, root);
    submit(root, last);
    cluster.play(10);
    assertTrue(ask("n1", "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    cluster.store.unwatched.add("n1");
    users.cancelled(root);
    assertEquals(200, ask("n2", "POST", "/submissions/" + root.uid() + "/abort", "").status());
    Answer answer = ask("n1", "GET", "/submissions/" + last.uid(), null);
    assertNotEquals(200, answer.status(), answer.body());
    assertTrue(answer.retryAfterS() > 0);
    cluster.store.unwatched.clear();
    cluster.play(10);
    assertTrue(ask("n1", "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** A stage that two pipelines need has the sooner deadline, until that pipeline is cancelled. */
  @Test
  void aSharedStageServesThePipelineThatIsDueFirst() {
    JobSpec shared = idle(1, 200);
    JobSpec soon = job(1, 5, 300, Priority.HIGH, List.of(shared.uid()));
    JobSpec later = job(1, 5, 900, Priority.STANDARD, List.of(shared.uid()));
    submit(shared, later, soon);
    cluster.play(10);
    Job stage = cluster.leader().actingLeader().job(shared.uid()).orElseThrow();
    long dueForSoon = stage.deadlineMicros();
    assertEquals(Priority.HIGH, stage.priority());
    users.cancelled(soon);
    assertEquals(200, ask("n0", "POST", "/submissions/" + soon.uid() + "/abort", "").status());
    cluster.play(5);
    assertEquals(Priority.STANDARD, stage.priority());
    assertTrue(stage.deadlineMicros() - dueForSoon > 500_000_000L);
    cluster.play(250);
    assertTold("done", shared, later);
  }

  /** The lists of jobs that have ended go; that of a job which still waits stays. */
  @Test
  void listsThatNoJobUsesAreRemoved() {
    smallValues();
    JobSpec short1 = idle(1, 20);
    JobSpec long1 = idle(1, 2_500);
    submit(short1, long1);
    cluster.play(5);
    JobSpec ends = withLongList(short1);
    JobSpec waits = withLongList(long1);
    assertEquals(201, submitAt("n0", ends).status());
    assertEquals(201, submitAt("n1", waits).status());
    // What a submission leaves that is given up on before it is accepted, with and without anchor.
    Map<String, JsonNode> lists = new TreeMap<>(cluster.store.entries("waits/"));
    int ofWaiting = cluster.store.count("waits/" + waits.uid() + "/");
    for (int i = 0; i < 9; i++) {
      lists.put("waits/job-700001/abc/" + i, Json.object());
      lists.put("waits/job-700002/abc/" + (i + 1), Json.object());
    }
    assertTrue(ofWaiting > 2 && lists.size() > 20 + ofWaiting);
    cluster.store.rewrite("waits/", lists);
    cluster.play(600);
    assertTrue(ask("n0", "GET", "/submissions/" + ends.uid(), null).body().contains("\"done\""));
    assertEquals(lists.size(), cluster.store.count("waits/"), "left alone for a while");
    cluster.play(REMOVED_WITHIN_S - 600);
    assertEquals(ofWaiting, cluster.store.count("waits/"));
    assertEquals(ofWaiting, cluster.store.count("waits/" + waits.uid() + "/"));
    cluster.play(1_000);
    assertTrue(ask("n0", "GET", "/submissions/" + waits.uid(), null).body().contains("\"done\""));
    assertEquals(0, cluster.store.malformed);
  }

  /**
   * The list is removed between its storing and the acceptance, which then fails: the record never
   * refers to a list of which a part is missing.
   */
  @Test
  void aListRemovedMeanwhileIsStoredAnew() {
    smallValues();
    JobSpec running = idle(1, 30);
    submit(running);
    cluster.play(5);
    JobSpec job = withLongList(running);
    cluster.store.interveneBefore = "active/" + job.uid();
    int[] removed = new int[1];
    cluster.store.intervention =
        () -> {
          removed[0] = cluster.store.count("waits/");
          cluster.store.rewrite("waits/", Map.of());
        };
    Answer answer = submitAt("n0", job);
    assertTrue(removed[0] > 2, "removed " + removed[0]);
    assertEquals(503, answer.status(), answer.body());
    assertEquals(404, ask("n1", "GET", "/submissions/" + job.uid(), null).status());
    cluster.play(2);
    assertEquals(201, submitAt("n1", job).status());
    cluster.play(60);
    assertTrue(ask("n2", "GET", "/submissions/" + job.uid(), null).body().contains("\"done\""));
  }

  /**
   * Parts that were listed without the anchor may be removed at any moment, and count as missing.
   */
  @Test
  void partsSeenWithoutTheAnchorCountForNothing() {
    smallValues();
    JobSpec running = idle(1, 30);
    submit(running);
    cluster.play(5);
    JobSpec job = withLongList(running);
    assertEquals(201, submitAt("n0", job).status());
    Map<String, JsonNode> rest = new TreeMap<>(cluster.store.entries("waits/"));
    String anchor = rest.keySet().iterator().next();
    rest.remove(anchor);
    Map<String, JsonNode> active = new TreeMap<>(cluster.store.entries("active/"));
    active.remove("active/" + job.uid());
    cluster.store.rewrite("active/", active);
    cluster.store.rewrite("waits/", rest);
    cluster.store.interveneBefore = anchor;
    cluster.store.intervention = () -> cluster.store.rewrite("waits/", Map.of());
    assertEquals(201, submitAt("n2", job).status());
    assertEquals(rest.size() + 1, cluster.store.count("waits/"), "all parts are there");
    cluster.play(60);
    assertTrue(ask("n2", "GET", "/submissions/" + job.uid(), null).body().contains("\"done\""));
  }

  /** A repeat of a known job stores nothing, whatever it names. */
  @Test
  void aRepeatWithAnotherListStoresNothing() {
    smallValues();
    JobSpec running = idle(1, 30);
    submit(running);
    cluster.play(5);
    JobSpec known = idle(1, 200);
    assertEquals(201, submitAt("n0", known).status());
    JobSpec other = withLongList(running);
    String body = Json.write(other.toJson()).replace(other.uid(), known.uid());
    assertEquals(200, ask("n1", "POST", "/submissions", body).status());
    assertEquals(0, cluster.store.count("waits/"));
  }
}
