package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * The troubles that came with the protocol's addition, each by itself and with the ones that make
 * it worse.
 */
final class FaultTest {
  private static final double LIMIT = 48;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          61,
          3,
          List.of(
              new PlatformConfiguration.Team("red", 16, LIMIT, 0, 0),
              new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
          false);
  private final FakeUsers users = new FakeUsers(cluster);

  private JobSpec job(
      String team,
      Priority priority,
      int taskCount,
      double cores,
      double expectedRunS,
      boolean oneZone) {
    return TestJob.job(users.nextUid())
        .jobClass(priority == Priority.IDLE ? "slow" : "quick")
        .team(team)
        .priority(priority)
        .tasks(taskCount)
        .cores(cores)
        .memoryGb(2)
        .oneZone(oneZone)
        .runS(expectedRunS)
        .build();
  }

  private JobSpec submit(JobSpec job) {
    users.submit(job, false);
    return job;
  }

  private void assertDone(JobSpec... jobs) {
    assertEquals(List.of(), cluster.invariants.broken);
    for (JobSpec job : jobs) {
      assertEquals("done", cluster.invariants.lastTold.get(job.uid()), job.uid());
    }
  }

  /** Heartbeats of the machine arrive, nothing reaches it. */
  private String makeUnreachable(double seconds) {
    String machineId =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .findFirst()
            .orElseThrow();
    cluster.network.cuts.put("*>" + machineId, true);
    cluster.at((long) (seconds * 1e6), () -> cluster.network.cuts.remove("*>" + machineId));
    return machineId;
  }

  private List<JobSpec> submitMany(int count, IntFunction<JobSpec> jobOfIndex) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      jobs.add(submit(jobOfIndex.apply(i)));
    }
    return jobs;
  }

  private List<JobSpec> submitMany(int count, double pauseS, IntFunction<JobSpec> jobOfIndex) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      jobs.add(submit(jobOfIndex.apply(i)));
      cluster.play(pauseS);
    }
    return jobs;
  }

  @Test
  void aMachineThatNothingReachesLosesItsTasksToOthers() {
    JobSpec job = submit(job("blue", Priority.STANDARD, 12, 2, 30, false));
    cluster.play(35);
    makeUnreachable(400);
    cluster.play(150);
    assertDone(job);
    JobSpec next = submit(job("blue", Priority.STANDARD, 12, 2, 10, false));
    cluster.play(60);
    assertDone(next);
  }

  /**
   * A leader stands still for longer than its lease lasts, and wakes to heartbeats that came
   * meanwhile: it must see by the clock that it is none any more before it answers the first of
   * them.
   */
  @Test
  void aLeaderThatStoodStillAnswersNobody() {
    JobSpec job = submit(job("blue", Priority.STANDARD, 40, 2, 40, false));
    cluster.play(40);
    SimulatedController stands = cluster.leader();
    stands.freeze(12);
    cluster.play(11.9);
    assertTrue(
        cluster.controllers.values().stream().anyMatch(m -> m != stands && m.leads()),
        "another leads by then");
    cluster.play(120);
    assertDone(job);
  }

  /**
   * Its heartbeats go on; answered, they would keep it from ever being accounted for, and all that
   * is inherited waits.
   */
  @Test
  void aMachineThatNothingReachesHoldsUpNoFailoverForLong() {
    JobSpec full = submit(job("red", Priority.STANDARD, 24, 2, 60, false));
    JobSpec waiting = submit(job("red", Priority.STANDARD, 10, 2, 10, false));
    cluster.play(45);
    makeUnreachable(500);
    // The cloud can't take it back meanwhile.
    cluster.cloud.outage = true;
    cluster.leader().crash(3);
    cluster.play(75);
    assertTrue(
        cluster.leader().actingLeader().failoverComplete(), "all machines are accounted for");
    cluster.play(150);
    assertDone(full, waiting);
  }

  /**
   * Heartbeats come twice, seconds to minutes late, at any controller, through two failover and
   * after machines were returned.
   */
  @Test
  void lateCopiesOfHeartbeatsChangeNothing() {
    cluster.network.copiedHeartbeatShare = 0.5;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      cluster.at(
          i * 15_000_000L,
          () -> all.add(submit(job("blue", Priority.STANDARD, 10, 2, 20, i(all) % 2 == 0))));
    }
    cluster.play(50);
    cluster.leader().crash(0.2);
    cluster.play(20);
    cluster.cloud.machines.keySet().stream().limit(3).toList().forEach(cluster.cloud::delete);
    cluster.play(10);
    cluster.leader().crash(6);
    cluster.play(250);
    assertEquals(8, all.size());
    assertDone(all.toArray(new JobSpec[0]));
  }

  private static int i(List<?> list) {
    return list.size();
  }

  /** Asked the same again, the controller neither renews a lease nor gives work. */
  @Test
  void aCopyAtTheLeaderIsNotAnswered() {
    cluster.play(20);
    byte[] heartbeat =
        ("{\"host\":\"i-900000\",\"endpoint\":\"h:9\",\"flavor\":\"small\",\"site\":\"a\",\"loaners\":false,"
             + "\"tenure\":1,\"tick\":7,\"baton\":0,\"pieces\":[]}")
            .getBytes(StandardCharsets.UTF_8);
    int[] status = new int[2];
    for (int i = 0; i < 2; i++) {
      int count = i;
      cluster
          .leader()
          .controller()
          .router()
          .handle("POST", "/hello", heartbeat, (s, json, retry) -> status[count] = s);
    }
    assertEquals(200, status[0]);
    assertEquals(503, status[1]);
  }

  /**
   * The leader loses the state service and the other controllers; its workers and its users still
   * reach it.
   */
  @Test
  void aLeaderLeftWithItsWorkersOnlyMakesWayAndSendsItsUsersAway() {
    List<JobSpec> all = submitMany(9, i -> job("blue", Priority.STANDARD, 6, 2, 60, false));
    cluster.play(50);
    String isRefusedAlone = cluster.leader().platform.label();
    for (String other : List.of("state", "n0", "n1", "n2")) {
      if (!other.equals(isRefusedAlone)) {
        cluster.network.cut(isRefusedAlone, other, true);
      }
    }
    cluster.calmSince = cluster.now();
    cluster.play(12);
    assertNotEquals(isRefusedAlone, cluster.leader().platform.label(), "another leads");
    int[] up = new int[1];
    boolean[] closed = new boolean[1];
    cluster.network.send(
        "probe",
        new plumlever.settings.Endpoint(isRefusedAlone, 1),
        "GET",
        "/up",
        null,
        2_000_000,
        a -> up[0] = a.status());
    cluster.network.send(
        "probe",
        new plumlever.settings.Endpoint(isRefusedAlone, 1),
        "GET",
        "/submissions/job-000001",
        null,
        5_000_000,
        a -> closed[0] = a.status() == 503 && a.connectionCloses());
    cluster.play(5);
    assertEquals(503, up[0], "silence alone makes it unhealthy too");
    assertTrue(closed[0], "its users' connections end");
    cluster.play(250);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * It reaches the state service and the other controllers, but none of its workers: one that does
   * must lead.
   */
  @Test
  void aLeaderThatLostItsWorkersMakesWay() {
    List<JobSpec> all = submitMany(6, i -> job("blue", Priority.STANDARD, 6, 2, 60, false));
    cluster.play(50);
    String isRefusedAlone = cluster.leader().platform.label();
    cluster.cloud.machines.keySet().forEach(h -> cluster.network.cut(isRefusedAlone, h, true));
    cluster.play(22);
    assertNotEquals(isRefusedAlone, cluster.leader().platform.label(), "another leads");
    cluster.play(250);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * A zone is cut off from the leader for twice a lease, but not from the others nor from the state
   * service: they renew its leases meanwhile. A job cancelled in that time must be gone from there
   * all the same.
   */
  @Test
  void leasesBehindAPartitionAreRenewedByOthers() {
    List<JobSpec> all = submitMany(10, i -> job("blue", Priority.STANDARD, 8, 2, 90, false));
    JobSpec cancelled = job("blue", Priority.STANDARD, 12, 2, 200, false);
    users.submit(cancelled, false);
    cluster.play(45);
    String leader = cluster.leader().platform.label();
    List<String> behind =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("a") && v.worker != null)
            .map(v -> v.id)
            .toList();
    assertTrue(behind.size() >= 4, "the zone has machines");
    behind.forEach(h -> cluster.network.cut(leader, h, true));
    cluster.at(5_000_000, () -> users.cancel(cancelled.uid()));
    cluster.at(45_000_000, () -> behind.forEach(h -> cluster.network.cut(leader, h, false)));
    cluster.play(60);
    long renewed =
        cluster.controllers.values().stream()
            .mapToLong(m -> m.controller().metrics().counter("leases_renewed_for_leader"))
            .sum();
    assertTrue(renewed > 20, "leases were renewed: " + renewed);
    assertEquals(
        0, cluster.leader().controller().metrics().counter("attempts_lost"), "no task was lost");
    assertEquals(leader, cluster.leader().platform.label());
    cluster.play(150);
    assertDone(all.toArray(new JobSpec[0]));
    assertEquals("aborted", cluster.invariants.lastTold.get(cancelled.uid()));
  }

  /**
   * Where nobody reaches a zone, its tasks are given to others about as soon as without delegated
   * renewal.
   */
  @Test
  void aZoneThatNobodyReachesIsNotWaitedFor() {
    List<JobSpec> all = submitMany(10, i -> job("blue", Priority.STANDARD, 8, 2, 60, false));
    cluster.play(45);
    cluster.cloud.machines.values().stream()
        .filter(v -> v.zone.equals("a") && v.worker != null)
        .forEach(v -> cluster.network.cuts.put(v.id + ">*", true));
    cluster.play(48);
    assertTrue(
        cluster.leader().controller().metrics().counter("attempts_lost") > 0,
        "the tasks there are free again");
    cluster.play(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * The leader dies while others renew leases for it: its successor must not take their machines
   * for lapsed too soon.
   */
  @Test
  void aSuccessorWaitsForDelegates() {
    List<JobSpec> all = submitMany(10, i -> job("blue", Priority.STANDARD, 8, 2, 60, i % 2 == 0));
    cluster.play(45);
    String leader = cluster.leader().platform.label();
    List<String> behind =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("a") && v.worker != null)
            .map(v -> v.id)
            .toList();
    behind.forEach(h -> cluster.network.cut(leader, h, true));
    cluster.cloud.outage = true;
    cluster.play(20);
    // Now the others lose the zone as well.
    behind.forEach(h -> cluster.controllers.keySet().forEach(n -> cluster.network.cut(n, h, true)));
    cluster.leader().crash(1);
    cluster.at(
        60_000_000,
        () ->
            behind.forEach(
                h -> cluster.controllers.keySet().forEach(n -> cluster.network.cut(n, h, false))));
    cluster.play(90);
    cluster.cloud.outage = false;
    cluster.play(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /** A common outage, by refusals or by silence, leaves every controller healthy. */
  @Test
  void aCommonOutageMakesNoControllerUnhealthy() {
    cluster.play(10);
    for (String controller : List.of("n0", "n1", "n2")) {
      cluster.network.cut(controller, "state", true);
    }
    List<Integer> seen = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      for (SimulatedController controller : cluster.controllers.values()) {
        controller
            .controller()
            .router()
            .handle("GET", "/up", new byte[0], (s, json, retry) -> seen.add(s));
      }
      cluster.play(1);
    }
    assertEquals(List.of(200), seen.stream().distinct().toList());
  }

  /**
   * Leader, follower and a worker are back within a fraction of a second, and again while an
   * election goes on.
   */
  @Test
  void processesBackAtOnceStartNothingTwice() {
    cluster.network.repeatedShare = 0.05;
    List<JobSpec> all = submitMany(8, i -> job("blue", Priority.STANDARD, 6, 2, 40, i % 2 == 0));
    cluster.play(40);
    for (int round = 0; round < 6; round++) {
      cluster.leader().crash(0.15);
      for (SimulatedController controller : cluster.controllers.values()) {
        cluster.at(300_000L * (round + 1), () -> controller.crash(0.1));
      }
      cluster.play(20);
    }
    cluster.play(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * Direct commands come again, up to a minute after they were carried out: a removed task must not
   * start anew.
   */
  @Test
  void aLateCopyOfADirectCommandStartsNothing() {
    cluster.network.copiedCommandShare = 1;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      JobSpec job = job("blue", Priority.STANDARD, 6, 2, 90, false);
      all.add(job);
      users.submit(job, true);
    }
    cluster.play(240);
    assertEquals(List.of(), cluster.invariants.broken);
    all.forEach(j -> assertEquals("aborted", cluster.invariants.lastTold.get(j.uid())));
  }

  /** The answers to direct commands are lost, and with them the word whether the tasks run. */
  @Test
  void anUnansweredDirectCommandHoldsItsTaskUntilTheTokenIsRaised() {
    JobSpec first = submit(job("blue", Priority.STANDARD, 8, 2, 5, false));
    cluster.play(40);
    assertDone(first);
    cluster.network.lostCommandAnswerShare = 0.7;
    List<JobSpec> all = submitMany(6, 10, i -> job("blue", Priority.STANDARD, 10, 2, 8, false));
    cluster.play(120);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * While a command is under way, heartbeats that were sent before it arrived don't list its task.
   */
  @Test
  void aHeartbeatThatCrossesADirectCommandProvesNothing() {
    cluster.network.extraCommandDelayMicros = 1_200_000;
    List<JobSpec> all = submitMany(10, 8, i -> job("blue", Priority.STANDARD, 10, 2, 8, false));
    cluster.play(120);
    assertDone(all.toArray(new JobSpec[0]));
    assertEquals(
        0,
        cluster.leader().controller().metrics().counter("starts_lost"),
        "no command was taken for lost");
    assertTrue(cluster.leader().controller().metrics().counter("starts_sent") >= 100);
  }

  /**
   * Nor may it while another command to the same machine is still under way, with the same token.
   */
  @Test
  void nothingIsRemovedWhileALateCopyCouldStartItAnew() {
    cluster.network.extraCommandDelayMicros = 1_200_000;
    cluster.network.copiedCommandShare = 1;
    cluster.cloud.most = 2;
    List<JobSpec> all =
        submitMany(30, 3, i -> job("blue", Priority.STANDARD, 3 + i % 4, 1, 3 + i % 5, false));
    cluster.play(120);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * Age wins in the end: under a lasting stream of urgent work the large, slow, one-zone job of a
   * full team begins.
   */
  @Test
  void theLargestOfTheLeastUrgentBeginsWithinFourMinutes() {
    cluster.cloud.most = 6;
    for (int i = 0; i < 150; i++) {
      cluster.at(i * 2_000_000L, () -> submit(job("red", Priority.PROD, 6, 2, 20, false)));
    }
    cluster.play(30);
    JobSpec large = submit(job("red", Priority.IDLE, 40, 4, 20, true));
    cluster.play(245);
    assertTrue(cluster.invariants.began(large.uid()), "it has begun");
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** The checks can fail: questions left unanswered, and a job that never begins, are seen. */
  @Test
  void theChecksSeeForgottenAndUnservedJobs() {
    JobSpec job = submit(job("blue", Priority.STANDARD, 4, 2, 400, false));
    cluster.play(20);
    assertFalse(cluster.invariants.lastTold.isEmpty());
    cluster.controllers.values().forEach(SimulatedController::kill);
    cluster.calmSince = cluster.now();
    cluster.play(300);
    cluster.invariants.checkServed();
    assertTrue(
        cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("forgotten")),
        "forgotten: " + cluster.invariants.broken);
    assertTrue(
        cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("half")),
        "half: " + job.uid());
  }
}
