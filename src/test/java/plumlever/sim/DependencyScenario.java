package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Priority;

/** Base class of tests that run jobs with dependencies in a small simulated deployment. */
abstract class DependencyScenario {
  SimulatedCluster cluster;
  FakeUsers users;

  @BeforeEach
  void deployWithDefaultLimits() {
    deploy(5, new PlatformConfiguration.StateLimits(200, 25, 4096, 8));
  }

  void deploy(long seed, PlatformConfiguration.StateLimits limits) {
    cluster =
        new SimulatedCluster(
            seed,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 16, 48, 0, 0),
                new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
            false,
            InvariantChecker.CANCEL_MICROS,
            limits);
    users = new FakeUsers(cluster);
    cluster.runFor(5);
  }

  JobSpec job(
      int taskCount, double runS, double deadlineS, Priority priority, List<String> dependencies) {
    return TestJob.job(users.nextUid())
        .jobClass("c" + priority.ordinal())
        .priority(priority)
        .tasks(taskCount)
        .memoryGb(2)
        .image("img-" + taskCount % 3)
        .runS(runS)
        .deadlineS(deadlineS)
        .build()
        .withDependencies(dependencies);
  }

  JobSpec idleJob(int taskCount, double runS, JobSpec... dependencies) {
    return job(
        taskCount,
        runS,
        JobSpec.NO_DEADLINE,
        Priority.IDLE,
        List.of(dependencies).stream().map(JobSpec::uid).toList());
  }

  /** Returns a typical user pipeline: ingest, two checks, merge, publish. */
  List<JobSpec> pipeline() {
    JobSpec ingest = idleJob(3, 4);
    JobSpec check = idleJob(8, 6, ingest);
    JobSpec secondCheck = idleJob(5, 9, ingest);
    JobSpec merge = idleJob(2, 5, check, secondCheck);
    JobSpec publish = job(2, 2, 120, Priority.HIGH, List.of(merge.uid()));
    return List.of(ingest, check, secondCheck, merge, publish);
  }

  void submit(JobSpec... jobs) {
    users.submitPipeline(List.of(jobs), false);
  }

  String reportedStatus(JobSpec job) {
    return cluster.invariants.lastReportedStatus.get(job.uid());
  }

  void assertReportedStatus(String status, JobSpec... jobs) {
    assertEquals(List.of(), cluster.invariants.violations);
    for (JobSpec job : jobs) {
      assertEquals(status, reportedStatus(job), job.uid());
    }
  }

  /** The response of a controller to one request. */
  record Response(int status, String body, int retryAfterS) {}

  Response request(String controller, String method, String path, String body) {
    Response[] response = new Response[1];
    cluster
        .controllers
        .get(controller)
        .controller()
        .router()
        .handle(
            method,
            path,
            body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8),
            (s, json, retry) -> response[0] = new Response(s, json, retry));
    for (int i = 0; i < 400 && response[0] == null; i++) {
      cluster.runFor(0.05);
    }
    return response[0];
  }

  Response submitAt(String controller, JobSpec job) {
    cluster.invariants.submitted.put(job.uid(), job);
    cluster.invariants.submittedAt.put(job.uid(), cluster.now());
    return request(controller, "POST", "/submissions", Json.write(job.toJson()));
  }
}
