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

/** The documented requirements for jobs with dependencies, one test for each requirement. */
final class DependencyAcceptanceTest extends DependencyScenario {
  private static final List<String> CONTROLLERS = List.of("n0", "n1", "n2");

  /**
   * Time within which the clean-up removes an unused dependency list. A list must have been unused
   * for 900 s, and the clean-up runs every 300 s.
   */
  private static final double REMOVED_WITHIN_S = 1_600;

  private JobSpec teamJob(
      String team, Priority priority, int tasks, double runS, JobSpec... dependencies) {
    return TestJob.job(users.nextUid())
        .jobClass("c1")
        .team(team)
        .priority(priority)
        .tasks(tasks)
        .memoryGb(2)
        .runS(runS)
        .build()
        .withDependencies(List.of(dependencies).stream().map(JobSpec::uid).toList());
  }

  /**
   * Returns a job whose dependency list is too long to be stored in the job record. All
   * dependencies except {@code running} have ended.
   */
  private JobSpec jobWithLongList(JobSpec running) {
    Map<String, JsonNode> ended = new TreeMap<>(cluster.store.entries("ended/"));
    List<String> dependencyUids = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      String uid = "job-6" + (10_000 + i);
      dependencyUids.add(uid);
      ended.put("ended/" + uid, Json.object().put("s", "done"));
      cluster.invariants.submitted.put(uid, idleJob(1, 1));
      cluster.invariants.complete(uid + "/0");
    }
    cluster.store.replaceAll("ended/", ended);
    dependencyUids.add(running.uid());
    return job(1, 2, JobSpec.NO_DEADLINE, Priority.STANDARD, dependencyUids);
  }

  private void deployWithSmallValues() {
    deploy(7, new PlatformConfiguration.StateLimits(200, 25, 2048, 4, 4096));
    cluster.store.maxValueBytes = 2048;
    cluster.store.maxTransactionOps = 4;
  }

  @Test
  void dependenciesMayBeInAnyStateAndOfAnotherTeam() {
    JobSpec done = teamJob("red", Priority.IDLE, 1, 2);
    JobSpec cancelled = teamJob("red", Priority.IDLE, 1, 300);
    JobSpec running = teamJob("red", Priority.IDLE, 1, 90);
    submit(done, cancelled, running);
    cluster.runFor(45);
    assertReportedStatus("done", done);
    users.recordCancellation(cancelled);
    assertEquals(
        200, request("n1", "POST", "/submissions/" + cancelled.uid() + "/abort", "").status());
    JobSpec after = teamJob("blue", Priority.HIGH, 1, 2, done, running);
    JobSpec dependent = teamJob("blue", Priority.HIGH, 1, 2, done, cancelled, running);
    assertEquals(201, submitAt("n2", after).status());
    Response response = submitAt("n0", dependent);
    assertEquals(201, response.status(), "submission with a cancelled dependency");
    assertTrue(response.body().contains("\"aborted\""), response.body());
    cluster.runFor(100);
    assertTrue(
        request("n1", "GET", "/submissions/" + after.uid(), null).body().contains("\"done\""));
    JobSpec lateDependent = teamJob("blue", Priority.HIGH, 1, 2, cancelled);
    assertTrue(submitAt("n1", lateDependent).body().contains("\"aborted\""));
    assertEquals(List.of(), cluster.invariants.violations);
  }

  @Test
  void aJobReleasedAfterItsDeadlineStillRuns() {
    JobSpec first = idleJob(1, 90);
    JobSpec last = job(2, 3, 20, Priority.HIGH, List.of(first.uid()));
    submit(first, last);
    cluster.runFor(140);
    assertReportedStatus("done", first, last);
  }

  /**
   * The time that a job waits for its dependencies does not count towards its age. While the job
   * waits, no machine is rented for the job, and the job is not prioritized as starved. After its
   * release the job is scheduled like a new job, also by a new leader.
   */
  @Test
  void ageOfWaitingJobCountsFromItsRelease() {
    JobSpec first = teamJob("blue", Priority.IDLE, 1, 330);
    JobSpec last = teamJob("red", Priority.IDLE, 40, 4, first);
    submit(first, last);
    cluster.runFor(60);
    int machines = cluster.cloud.machines.size();
    assertTrue(machines <= 2, "machines rented for one task: " + machines);
    cluster.runFor(200);
    Job waiting = cluster.leader().actingLeader().job(last.uid()).orElseThrow();
    assertTrue(waiting.waitsForDependencies());
    assertEquals("pending", reportedStatus(last));
    assertTrue(
        cluster.cloud.machines.size() <= machines,
        "a machine was rented for a job that waits for dependencies");
    cluster.leader().crash(1);
    cluster.runFor(20);
    JobSpec urgent = teamJob("red", Priority.HIGH, 40, 30);
    submit(urgent);
    cluster.runFor(30);
    assertTrue(
        cluster.invariants.hasStarted(urgent.uid()),
        "a waiting job delays a job of higher priority");
    long released = 0;
    for (int i = 0; i < 1_300 && released == 0; i++) {
      cluster.runFor(0.1);
      released =
          cluster
              .leader()
              .actingLeader()
              .job(last.uid())
              .filter(job -> !job.waitsForDependencies())
              .map(Job::releasedMicros)
              .orElse(0L);
    }
    assertTrue(cluster.now() - released < 10_000_000, "release time of the job is too early");
    cluster.runFor(60);
    assertReportedStatus("done", first, urgent, last);
  }

  /**
   * A new leader restores the release time of a job that waited for dependencies, and does not
   * replace the release time with the submission time.
   */
  @Test
  void newLeaderRestoresReleaseTime() {
    JobSpec first = idleJob(1, 60);
    JobSpec last = idleJob(2, 300, first);
    submit(first, last);
    cluster.runFor(130);
    assertReportedStatus("done", first);
    long released = cluster.leader().actingLeader().job(last.uid()).orElseThrow().releasedMicros();
    cluster.leader().crash(1);
    cluster.runFor(20);
    Job job = cluster.leader().actingLeader().job(last.uid()).orElseThrow();
    assertTrue(released - job.acceptedMicros() > 50_000_000);
    assertEquals(released / 1e6, job.releasedMicros() / 1e6, 2);
  }

  /**
   * Cancels one branch of a diamond: two jobs depend on the same job, and a fourth job on both.
   * Immediately afterwards, status queries, repeated submissions and cancellations at every
   * controller must return the cancelled state for the dependents. The other branch must complete.
   */
  @Test
  void onlyDependentsOfCancelledJobAreCancelled() {
    JobSpec root = idleJob(1, 60);
    JobSpec left = idleJob(1, 400, root);
    JobSpec right = idleJob(1, 5, root);
    JobSpec joined = idleJob(1, 5, left, right);
    JobSpec last = idleJob(1, 5, joined);
    JobSpec unaffected = idleJob(1, 5, right);
    submit(root, left, right, joined, last, unaffected);
    cluster.runFor(10);
    CONTROLLERS.forEach(n -> request(n, "GET", "/submissions/" + last.uid(), null));
    users.recordCancellation(left);
    assertTrue(
        request("n2", "POST", "/submissions/" + left.uid() + "/abort", "")
            .body()
            .contains("\"aborted\""));
    for (String controller : CONTROLLERS) {
      assertTrue(
          request(controller, "GET", "/submissions/" + joined.uid(), null)
              .body()
              .contains("\"aborted\""));
      assertTrue(
          submitAt(controller, last).body().contains("\"aborted\""),
          "repeated submission of a cancelled job");
      assertTrue(
          request(controller, "POST", "/submissions/" + last.uid() + "/abort", "")
              .body()
              .contains("\"aborted\""));
    }
    cluster.runFor(140);
    assertReportedStatus("done", root, right, unaffected);
    assertFalse(
        cluster.invariants.hasStarted(joined.uid()) || cluster.invariants.hasStarted(last.uid()));
  }

  /**
   * The cancellation must reach all dependents even if the state service applies the transaction
   * that stores the cancellation but its response is lost.
   */
  @Test
  void cancellationWithLostResponseReachesWholeChain() {
    JobSpec root = idleJob(1, 400);
    JobSpec last = idleJob(1, 5, root);
    submit(root, last);
    cluster.runFor(10);
    cluster.store.unansweredWritePrefix = "ended/" + root.uid();
    users.recordCancellation(root);
    Response response = request("n1", "POST", "/submissions/" + root.uid() + "/abort", "");
    assertEquals(1, cluster.store.appliedUnanswered);
    assertTrue(response.body().contains("\"aborted\""), response.body());
    for (String controller : CONTROLLERS) {
      assertTrue(
          request(controller, "GET", "/submissions/" + last.uid(), null)
              .body()
              .contains("\"aborted\""));
    }
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /**
   * A controller whose watch of ended jobs is not answered refuses status queries, because its view
   * may be stale.
   */
  @Test
  void controllerWithStaleViewRefusesStatusQueries() {
    JobSpec root = idleJob(1, 400);
    JobSpec last = idleJob(1, 5, root);
    submit(root, last);
    cluster.runFor(10);
    assertTrue(request("n1", "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    cluster.store.controllersWithoutWatches.add("n1");
    users.recordCancellation(root);
    assertEquals(200, request("n2", "POST", "/submissions/" + root.uid() + "/abort", "").status());
    Response response = request("n1", "GET", "/submissions/" + last.uid(), null);
    assertNotEquals(200, response.status(), response.body());
    assertTrue(response.retryAfterS() > 0);
    cluster.store.controllersWithoutWatches.clear();
    cluster.runFor(10);
    assertTrue(
        request("n1", "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /**
   * A stage shared by two pipelines inherits the earlier deadline and the higher priority. After
   * the cancellation of the urgent pipeline the stage has the deadline and the priority of the
   * other pipeline.
   */
  @Test
  void sharedStageInheritsEarliestDeadline() {
    JobSpec shared = idleJob(1, 200);
    JobSpec urgent = job(1, 5, 300, Priority.HIGH, List.of(shared.uid()));
    JobSpec later = job(1, 5, 900, Priority.STANDARD, List.of(shared.uid()));
    submit(shared, later, urgent);
    cluster.runFor(10);
    Job stage = cluster.leader().actingLeader().job(shared.uid()).orElseThrow();
    long urgentDeadlineMicros = stage.deadlineMicros();
    assertEquals(Priority.HIGH, stage.priority());
    users.recordCancellation(urgent);
    assertEquals(
        200, request("n0", "POST", "/submissions/" + urgent.uid() + "/abort", "").status());
    cluster.runFor(5);
    assertEquals(Priority.STANDARD, stage.priority());
    assertTrue(stage.deadlineMicros() - urgentDeadlineMicros > 500_000_000L);
    cluster.runFor(250);
    assertReportedStatus("done", shared, later);
  }

  /**
   * Stored dependency lists of ended jobs and of abandoned submissions are removed. The list of a
   * job that still waits is kept.
   */
  @Test
  void unusedDependencyListsAreRemoved() {
    deployWithSmallValues();
    JobSpec shortJob = idleJob(1, 20);
    JobSpec longJob = idleJob(1, 2_500);
    submit(shortJob, longJob);
    cluster.runFor(5);
    JobSpec endingJob = jobWithLongList(shortJob);
    JobSpec waitingJob = jobWithLongList(longJob);
    assertEquals(201, submitAt("n0", endingJob).status());
    assertEquals(201, submitAt("n1", waitingJob).status());
    // Adds parts of two dependency lists whose submissions were never accepted. Only one of the two
    // lists includes its first part, the anchor.
    Map<String, JsonNode> lists = new TreeMap<>(cluster.store.entries("waits/"));
    int waitingListParts = cluster.store.count("waits/" + waitingJob.uid() + "/");
    for (int i = 0; i < 9; i++) {
      lists.put("waits/job-700001/abc/" + i, Json.object());
      lists.put("waits/job-700002/abc/" + (i + 1), Json.object());
    }
    assertTrue(waitingListParts > 2 && lists.size() > 20 + waitingListParts);
    cluster.store.replaceAll("waits/", lists);
    cluster.runFor(600);
    assertTrue(
        request("n0", "GET", "/submissions/" + endingJob.uid(), null).body().contains("\"done\""));
    assertEquals(
        lists.size(),
        cluster.store.count("waits/"),
        "list parts before the grace period has passed");
    cluster.runFor(REMOVED_WITHIN_S - 600);
    assertEquals(waitingListParts, cluster.store.count("waits/"));
    assertEquals(waitingListParts, cluster.store.count("waits/" + waitingJob.uid() + "/"));
    cluster.runFor(1_000);
    assertTrue(
        request("n0", "GET", "/submissions/" + waitingJob.uid(), null).body().contains("\"done\""));
    assertEquals(0, cluster.store.malformedTransactions);
  }

  /**
   * The stored dependency list is removed before the transaction that accepts the job. That
   * transaction must fail, so that no job record refers to an incomplete list.
   */
  @Test
  void dependencyListRemovedBeforeAcceptanceIsStoredAgain() {
    deployWithSmallValues();
    JobSpec running = idleJob(1, 30);
    submit(running);
    cluster.runFor(5);
    JobSpec job = jobWithLongList(running);
    cluster.store.interventionPrefix = "active/" + job.uid();
    int[] removed = new int[1];
    cluster.store.intervention =
        () -> {
          removed[0] = cluster.store.count("waits/");
          cluster.store.replaceAll("waits/", Map.of());
        };
    Response response = submitAt("n0", job);
    assertTrue(removed[0] > 2, "list parts removed: " + removed[0]);
    assertEquals(503, response.status(), response.body());
    assertEquals(404, request("n1", "GET", "/submissions/" + job.uid(), null).status());
    cluster.runFor(2);
    assertEquals(201, submitAt("n1", job).status());
    cluster.runFor(60);
    assertTrue(request("n2", "GET", "/submissions/" + job.uid(), null).body().contains("\"done\""));
  }

  /**
   * Tests a submission that finds parts of its dependency list in the state service without the
   * first part, the anchor. Such parts may be removed at any time, so the submission must store the
   * whole list again.
   */
  @Test
  void listPartsWithoutAnchorAreIgnored() {
    deployWithSmallValues();
    JobSpec running = idleJob(1, 30);
    submit(running);
    cluster.runFor(5);
    JobSpec job = jobWithLongList(running);
    assertEquals(201, submitAt("n0", job).status());
    Map<String, JsonNode> partsWithoutAnchor = new TreeMap<>(cluster.store.entries("waits/"));
    String anchor = partsWithoutAnchor.keySet().iterator().next();
    partsWithoutAnchor.remove(anchor);
    Map<String, JsonNode> active = new TreeMap<>(cluster.store.entries("active/"));
    active.remove("active/" + job.uid());
    cluster.store.replaceAll("active/", active);
    cluster.store.replaceAll("waits/", partsWithoutAnchor);
    cluster.store.interventionPrefix = anchor;
    cluster.store.intervention = () -> cluster.store.replaceAll("waits/", Map.of());
    assertEquals(201, submitAt("n2", job).status());
    assertEquals(partsWithoutAnchor.size() + 1, cluster.store.count("waits/"), "stored list parts");
    cluster.runFor(60);
    assertTrue(request("n2", "GET", "/submissions/" + job.uid(), null).body().contains("\"done\""));
  }

  /**
   * Submitting a known job again stores nothing, even if the new submission names other
   * dependencies.
   */
  @Test
  void repeatedSubmissionWithOtherDependenciesStoresNothing() {
    deployWithSmallValues();
    JobSpec running = idleJob(1, 30);
    submit(running);
    cluster.runFor(5);
    JobSpec known = idleJob(1, 200);
    assertEquals(201, submitAt("n0", known).status());
    JobSpec other = jobWithLongList(running);
    String body = Json.write(other.toJson()).replace(other.uid(), known.uid());
    assertEquals(200, request("n1", "POST", "/submissions", body).status());
    assertEquals(0, cluster.store.count("waits/"));
  }
}
