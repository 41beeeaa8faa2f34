package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/** Pipelines of dependent jobs under failovers, lost responses, stale watches and random faults. */
final class PipelinesTest extends DependencyScenario {
  @Test
  void stagesRunOneAfterTheOther() {
    List<JobSpec> stages = pipeline();
    users.submitPipeline(stages, false);
    cluster.runFor(10);
    assertEquals("pending", reportedStatus(stages.get(4)));
    cluster.runFor(120);
    assertReportedStatus("done", stages.toArray(new JobSpec[0]));
    List<JobSpec> late = pipeline();
    users.submitPipeline(late, true);
    cluster.runFor(120);
    assertReportedStatus("done", late.toArray(new JobSpec[0]));
  }

  /**
   * A job that waits for its dependencies must not use up its team's core limit, and must not cause
   * machines to be kept on standby.
   */
  @Test
  void waitingJobUsesNoLimitAndNoStandbyMachines() {
    JobSpec first = job(2, 60, JobSpec.NO_DEADLINE, Priority.IDLE, List.of());
    JobSpec large =
        TestJob.job(users.nextUid())
            .jobClass("c1")
            .team("red")
            .priority(Priority.PROD)
            .tasks(48)
            .memoryGb(2)
            .runS(5)
            .build()
            .withDependencies(List.of(first.uid()));
    submit(first, large);
    cluster.runFor(15);
    JobSpec other =
        TestJob.job(users.nextUid())
            .jobClass("c1")
            .team("red")
            .priority(Priority.IDLE)
            .tasks(40)
            .memoryGb(2)
            .runS(5)
            .build();
    users.submit(other, false);
    cluster.runFor(50);
    assertEquals("pending", reportedStatus(large));
    assertReportedStatus("done", other);
    cluster.runFor(100);
    assertReportedStatus("done", large);
  }

  /** The leader changes repeatedly while jobs of the chain wait and while one of them ends. */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 4})
  void chainContinuesAcrossLeaderChanges(double backAfterS) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      List<JobSpec> stages = pipeline();
      jobs.addAll(stages);
      users.submitPipeline(stages, i % 2 == 0);
    }
    long term = cluster.store.term();
    for (int i = 0; i < 5; i++) {
      cluster.runFor(9);
      cluster.leader().crash(backAfterS);
      cluster.runFor(5);
    }
    cluster.runFor(150);
    assertTrue(cluster.store.term() - term >= 5, "too few changes of the leader");
    assertReportedStatus("done", jobs.toArray(new JobSpec[0]));
  }

  /**
   * The state service applies the transaction that stores the end of a dependency, but its response
   * is lost. The dependents must be released all the same.
   */
  @Test
  void endWithLostResponseReleasesDependents() {
    List<JobSpec> stages = pipeline();
    cluster.store.unansweredWritePrefix = "ended/" + stages.get(0).uid();
    users.submitPipeline(stages, false);
    cluster.runFor(120);
    assertEquals(1, cluster.store.appliedUnanswered);
    assertReportedStatus("done", stages.toArray(new JobSpec[0]));
  }

  /**
   * The state service retains only three changes. A controller whose watch has fallen behind
   * further must read the dependency chains again.
   */
  @Test
  void staleWatchesReadChainsAgain() {
    cluster.store.retainedChanges = 3;
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      List<JobSpec> stages = pipeline();
      jobs.addAll(stages);
      users.submitPipeline(stages, false);
    }
    cluster.runFor(200);
    assertReportedStatus("done", jobs.toArray(new JobSpec[0]));
  }

  /** The cost of a status query does not grow with the length of the dependency chain. */
  @Test
  void statusQueriesOnLongChainAreCheap() {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      JobSpec job = i == 0 ? idleJob(1, 900) : idleJob(1, 5, jobs.get(i - 1));
      jobs.add(job);
      assertEquals(201, submitAt("n0", job).status());
    }
    JobSpec last = jobs.get(299);
    assertEquals(200, request("n1", "GET", "/submissions/" + last.uid(), null).status());
    cluster.store.requestCount = 0;
    for (int i = 0; i < 10; i++) {
      assertTrue(
          request("n1", "GET", "/submissions/" + last.uid(), null).body().contains("pending"));
    }
    assertTrue(
        cluster.store.requestCount < 60,
        "requests to the state service during ten status queries: " + cluster.store.requestCount);
    assertTrue(
        request("n2", "POST", "/submissions/" + jobs.get(0).uid() + "/abort", "")
            .body()
            .contains("aborted"));
    assertTrue(
        request("n1", "GET", "/submissions/" + last.uid(), null).body().contains("\"aborted\""));
    cluster.runFor(120);
    assertEquals(
        0,
        cluster.store.count("active/"),
        "active records after the cancellation of the first job");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  static LongStream seeds() {
    long first = Long.getLong("plumlever.first", 1);
    return LongStream.range(first, first + Integer.getInteger("plumlever.seeds", 8));
  }

  /**
   * Runs pipelines and other jobs under random faults, one simulation per seed. About a fifth of
   * the pipelines are cancelled. With even seeds, users also query all controllers within
   * milliseconds of each response with a new status.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void randomFaultsWithPipelines(long seed) {
    deploy(4_000 + seed, new PlatformConfiguration.StateLimits(200, 25, 2048, 4, 4096));
    cluster.store.maxValueBytes = seed % 2 == 0 ? 2048 : 4096;
    cluster.store.maxTransactionOps = seed % 2 == 0 ? 4 : 8;
    users.queryAllControllersOnChange = seed % 2 == 0;
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      List<JobSpec> stages = pipeline();
      jobs.addAll(stages);
      boolean late = i % 4 == 0;
      cluster.at(i * 15_000_000L, () -> users.submitPipeline(stages, late));
      if (i % 5 == 0) {
        JobSpec jobToCancel = stages.get(cluster.random.nextInt(stages.size()));
        cluster.at(
            i * 15_000_000L + 3_000_000 + cluster.random.nextLong(25_000_000),
            () -> users.cancelOnceAccepted(jobToCancel.uid()));
      }
      cluster.at(
          i * 15_000_000L,
          () ->
              users.submit(
                  1 + cluster.random.nextInt(8),
                  1,
                  3 + cluster.random.nextInt(20),
                  cluster.random.nextInt(5) == 0));
    }
    cluster.network.lostResponseShare = 0.01;
    cluster.network.repeatedShare = 0.02;
    cluster.network.duplicatedHeartbeatShare = 0.02;
    cluster.store.lateWriteShare = 0.02;
    cluster.store.unansweredWriteShare = 0.02;
    for (int i = 0; i < 12; i++) {
      cluster.at(
          20_000_000L + cluster.random.nextLong(200_000_000L),
          () -> SimulationTest.injectRandomFault(cluster));
    }
    cluster.at(
        120_000_000,
        () -> {
          cluster.store.maxValueBytes = 2048;
          cluster.store.maxTransactionOps = 4;
        });
    cluster.runFor(240);
    cluster.store.lateWriteShare = 0;
    cluster.store.unansweredWriteShare = 0;
    SimulationTest.endFaults(cluster);
    cluster.runFor(300);
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals(
        0,
        cluster.store.malformedTransactions,
        "transactions that exceed a limit of the state service");
    for (JobSpec job : jobs) {
      assertTrue(
          List.of("done", "aborted").contains(reportedStatus(job)),
          job.uid() + " " + reportedStatus(job));
    }
    assertNotEquals(0, jobs.stream().filter(j -> reportedStatus(j).equals("done")).count());
  }

  /**
   * Verifies that the invariant checks report jobs that start before their dependencies are done.
   * In this test, the stored job records lose their dependencies.
   */
  @Test
  void withoutStoredDependenciesJobsStartTooEarly() {
    cluster.store.removedJobField = "waits_on";
    users.submitPipeline(pipeline(), false);
    cluster.runFor(80);
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("too_early")),
        "the invariant check did not detect the premature start");
  }

  /** The first job inherits deadline and priority of the last job, also under a new leader. */
  @Test
  void deadlineIsInheritedUnderNewLeader() {
    JobSpec first = idleJob(1, 300);
    JobSpec last = job(1, 10, 400, Priority.HIGH, List.of(first.uid()));
    submit(first, last);
    cluster.runFor(10);
    for (int i = 0; i < 2; i++) {
      plumlever.fleet.Job job = cluster.leader().actingLeader().job(first.uid()).orElseThrow();
      cluster.runFor(1);
      assertEquals(Priority.HIGH, job.priority());
      long remainingMicros = job.deadlineMicros() - job.acceptedMicros();
      assertTrue(
          remainingMicros > 370_000_000L && remainingMicros < 390_000_000L,
          "inherited time to the deadline (400 s less the last job), in us: " + remainingMicros);
      cluster.leader().crash(1);
      cluster.runFor(15);
    }
    assertEquals(200, request("n0", "POST", "/submissions/" + last.uid() + "/abort", "").status());
    cluster.runFor(2);
    assertEquals(
        Priority.IDLE,
        cluster.leader().actingLeader().job(first.uid()).orElseThrow().priority(),
        "priority after the cancellation of the dependent job");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /** Any number of jobs may depend on a previously accepted job. */
  @Test
  void manyJobsMayDependOnOne() {
    JobSpec root = idleJob(1, 30);
    assertEquals(201, submitAt("n0", root).status());
    List<JobSpec> jobs = IntStream.range(0, 120).mapToObj(i -> idleJob(1, 1, root)).toList();
    jobs.forEach(j -> users.submit(j, false));
    cluster.runFor(150);
    assertReportedStatus("done", jobs.toArray(new JobSpec[0]));
  }
}
