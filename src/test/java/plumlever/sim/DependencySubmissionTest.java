package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/** Tests the responses to submissions of jobs with dependencies. */
final class DependencySubmissionTest extends DependencyScenario {
  @Test
  void invalidDependencyListsAreRefused() {
    JobSpec known = idleJob(1, 300);
    assertEquals(201, submitAt("n0", known).status());
    cluster.runFor(1);
    String validBody = Json.write(idleJob(1, 5).toJson());
    String uid = validBody.substring(validBody.indexOf("job-"), validBody.indexOf("job-") + 10);
    String openBody = validBody.substring(0, validBody.length() - 1);
    for (String bad :
        List.of(
            "\"job-1\"", "7", "{}", "[7]", "[null]", "[\"job-\"]", "[\"x\"]", "[[\"job-1\"]]")) {
      assertEquals(
          400,
          request("n1", "POST", "/submissions", openBody + ",\"waits_on\":" + bad + "}").status(),
          bad);
    }
    assertEquals(
        422,
        request("n1", "POST", "/submissions", openBody + ",\"waits_on\":[\"job-777\"]}").status(),
        "dependency that was never accepted");
    assertEquals(
        422,
        request("n1", "POST", "/submissions", openBody + ",\"waits_on\":[\"" + uid + "\"]}")
            .status(),
        "dependency on the job itself");
    assertEquals(
        422,
        request(
                "n1",
                "POST",
                "/submissions",
                openBody + ",\"waits_on\":[\"" + known.uid() + "\",\"job-777\"]}")
            .status(),
        "one known and one unknown dependency");
    // During the outage the dependency cannot be looked up, so it must not be refused as unknown.
    cluster.store.outage = true;
    Response response =
        request("n1", "POST", "/submissions", openBody + ",\"waits_on\":[\"job-777\"]}");
    assertEquals(
        503, response.status(), "unknown dependency during an outage of the state service");
    assertTrue(response.retryAfterS() > 0);
    cluster.store.endOutage();
    cluster.runFor(3);
    assertEquals(404, request("n2", "GET", "/submissions/" + uid, null).status());
    for (String none : List.of("null", "[]")) {
      assertEquals(
          none.equals("null") ? 201 : 200,
          request("n1", "POST", "/submissions", openBody + ",\"waits_on\":" + none + "}").status());
    }
    assertEquals(
        200,
        request("n2", "POST", "/submissions", openBody + ",\"waits_on\":[\"job-777\"]}").status(),
        "repeated submission of a known job with other dependencies");
    assertEquals(
        200,
        request("n2", "POST", "/submissions", openBody + ",\"waits_on\":7}").status(),
        "repeated submission of a known job with other dependencies");
    JobSpec twice = idleJob(1, 1, known, known);
    assertEquals(201, submitAt("n2", twice).status(), "submission that names a dependency twice");
  }

  /**
   * A job is submitted at one controller and its dependency is cancelled at another controller
   * within milliseconds.
   */
  @Test
  void submissionRacesWithCancellationOfDependency() {
    List<JobSpec> dependents = new ArrayList<>();
    users.queryAllControllersOnChange = true;
    for (int i = 0; i < 25; i++) {
      JobSpec root = idleJob(1, 300);
      users.submit(root, false);
      cluster.runFor(1);
      JobSpec next = idleJob(1, 5, root);
      dependents.add(next);
      cluster.at(cluster.random.nextInt(20_000), () -> users.cancel(root.uid()));
      cluster.at(cluster.random.nextInt(20_000), () -> users.submit(next, false));
      cluster.runFor(1);
    }
    cluster.runFor(20);
    assertReportedStatus("aborted", dependents.toArray(new JobSpec[0]));
  }

  /**
   * Submits the longest dependency list that fits into a request body. The state service has low
   * limits for value sizes and for the operations and preconditions of a transaction.
   */
  @Test
  void largestDependencyListIsAccepted() {
    deploy(6, new PlatformConfiguration.StateLimits(200, 25, 2048, 4, 4096));
    cluster.store.maxValueBytes = 2048;
    cluster.store.maxTransactionOps = 4;
    List<JobSpec> roots = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      JobSpec job = job(1, 2, JobSpec.NO_DEADLINE, Priority.STANDARD, List.of());
      roots.add(job);
      users.submit(job, false);
      cluster.runFor(0.3);
    }
    cluster.runFor(60);
    // The dependency list names the jobs that have run, one running job, and as many ended jobs as
    // fit into the request body. Of these ended jobs, only a record of the end is stored.
    JobSpec running = idleJob(1, 60);
    users.submit(running, false);
    cluster.runFor(10);
    Map<String, com.fasterxml.jackson.databind.JsonNode> endedRecords =
        new TreeMap<>(cluster.store.entries("ended/"));
    List<String> dependencyUids = new ArrayList<>(roots.stream().map(JobSpec::uid).toList());
    for (int i = 0; i < 4_800; i++) {
      dependencyUids.add("job-5" + (10_000 + i));
      endedRecords.put("ended/job-5" + (10_000 + i), Json.object().put("s", "done"));
    }
    cluster.store.replaceAll("ended/", endedRecords);
    dependencyUids.add(running.uid());
    JobSpec last = job(1, 3, JobSpec.NO_DEADLINE, Priority.HIGH, dependencyUids);
    String body = Json.write(last.toJson());
    assertTrue(body.length() > 60_000 && body.length() <= 65_536, "body bytes: " + body.length());
    dependencyUids.forEach(
        n ->
            cluster.invariants.submitted.computeIfAbsent(
                n,
                k ->
                    TestJob.job(k)
                        .jobClass("c")
                        .priority(Priority.IDLE)
                        .image("i")
                        .runS(1)
                        .build()));
    dependencyUids.stream()
        .filter(n -> n.startsWith("job-5"))
        .forEach(n -> cluster.invariants.complete(n + "/0"));
    Response response = null;
    for (int tries = 0; tries < 12 && (response == null || response.status() == 503); tries++) {
      response = submitAt("n" + tries % 3, last);
      cluster.runFor(1);
    }
    assertEquals(201, response.status(), response.body());
    assertEquals(
        0, cluster.store.malformedTransactions, "transactions over a limit of the state service");
    assertTrue(request("n2", "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    cluster.leader().crash(1);
    cluster.runFor(15);
    assertFalse(
        cluster.invariants.hasStarted(last.uid()), "started although a dependency still runs");
    cluster.runFor(120);
    assertTrue(
        request("n1", "GET", "/submissions/" + last.uid(), null).body().contains("\"done\""));
    assertEquals(List.of(), cluster.invariants.violations);
  }
}
