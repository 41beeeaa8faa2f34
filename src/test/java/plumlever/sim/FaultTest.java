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
 * Tests unreachable machines, network partitions, duplicated heartbeats, duplicated direct commands
 * (sent in calls to workers, not in heartbeat responses), and delegated lease renewal. Each fault
 * is tested alone and together with the faults that make it worse.
 */
final class FaultTest {
  private static final double RED_CORE_LIMIT = 48;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          61,
          3,
          List.of(
              new PlatformConfiguration.Team("red", 16, RED_CORE_LIMIT, 0, 0),
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
    assertEquals(List.of(), cluster.invariants.violations);
    for (JobSpec job : jobs) {
      assertEquals("done", cluster.invariants.lastReportedStatus.get(job.uid()), job.uid());
    }
  }

  /**
   * Blocks all messages to one machine with tasks for the given time; its heartbeats still arrive.
   *
   * @return the id of the machine
   */
  private String makeUnreachable(double seconds) {
    String machineId =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .findFirst()
            .orElseThrow();
    cluster.network.blockedLinks.put("*>" + machineId, true);
    cluster.at((long) (seconds * 1e6), () -> cluster.network.blockedLinks.remove("*>" + machineId));
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
      cluster.runFor(pauseS);
    }
    return jobs;
  }

  @Test
  void tasksOfAnUnreachableMachineRunElsewhere() {
    JobSpec job = submit(job("blue", Priority.STANDARD, 12, 2, 30, false));
    cluster.runFor(35);
    makeUnreachable(400);
    cluster.runFor(150);
    assertDone(job);
    JobSpec next = submit(job("blue", Priority.STANDARD, 12, 2, 10, false));
    cluster.runFor(60);
    assertDone(next);
  }

  /**
   * A leader process freezes for longer than its lease and resumes with queued heartbeats. The
   * process must check its lease against the clock, and stop acting as leader, before it answers
   * the first heartbeat.
   */
  @Test
  void aLeaderFrozenBeyondItsLeaseAnswersNoHeartbeat() {
    JobSpec job = submit(job("blue", Priority.STANDARD, 40, 2, 40, false));
    cluster.runFor(40);
    SimulatedController frozenLeader = cluster.leader();
    frozenLeader.freeze(12);
    cluster.runFor(11.9);
    assertTrue(
        cluster.controllers.values().stream().anyMatch(m -> m != frozenLeader && m.leads()),
        "another controller leads before the frozen leader resumes");
    cluster.runFor(120);
    assertDone(job);
  }

  /**
   * A machine's heartbeats arrive, but nothing reaches the machine. A new leader must not answer
   * the heartbeats: otherwise it could never know which tasks earlier leaders have started on the
   * machine, and every inherited job would wait.
   */
  @Test
  void anUnreachableMachineDelaysAFailoverOnlyBriefly() {
    JobSpec full = submit(job("red", Priority.STANDARD, 24, 2, 60, false));
    JobSpec waiting = submit(job("red", Priority.STANDARD, 10, 2, 10, false));
    cluster.runFor(45);
    makeUnreachable(500);
    // In the cloud outage the leader can't return the machine, so no deletion ends the wait.
    cluster.cloud.outage = true;
    cluster.leader().crash(3);
    cluster.runFor(75);
    assertTrue(
        cluster.leader().actingLeader().failoverComplete(),
        "the failover has accounted for all machines");
    cluster.runFor(150);
    assertDone(full, waiting);
  }

  /**
   * Half of the heartbeats are delivered a second time, up to a minute late and at any controller,
   * during two failovers and after machines were deleted. The duplicates must have no effect.
   */
  @Test
  void lateDuplicatesOfHeartbeatsChangeNothing() {
    cluster.network.duplicatedHeartbeatShare = 0.5;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      cluster.at(
          i * 15_000_000L,
          () -> all.add(submit(job("blue", Priority.STANDARD, 10, 2, 20, size(all) % 2 == 0))));
    }
    cluster.runFor(50);
    cluster.leader().crash(0.2);
    cluster.runFor(20);
    cluster.cloud.machines.keySet().stream().limit(3).toList().forEach(cluster.cloud::delete);
    cluster.runFor(10);
    cluster.leader().crash(6);
    cluster.runFor(250);
    assertEquals(8, all.size());
    assertDone(all.toArray(new JobSpec[0]));
  }

  private static int size(List<?> list) {
    return list.size();
  }

  /** The second of two equal heartbeats must not renew the lease nor be answered with commands. */
  @Test
  void theLeaderRefusesADuplicateHeartbeat() {
    cluster.runFor(20);
    byte[] heartbeat =
        ("{\"host\":\"i-900000\",\"endpoint\":\"h:9\",\"flavor\":\"small\",\"site\":\"a\",\"loaners\":false,"
             + "\"tenure\":1,\"tick\":7,\"baton\":0,\"pieces\":[]}")
            .getBytes(StandardCharsets.UTF_8);
    int[] status = new int[2];
    for (int i = 0; i < 2; i++) {
      int request = i;
      cluster
          .leader()
          .controller()
          .router()
          .handle("POST", "/hello", heartbeat, (s, json, retry) -> status[request] = s);
    }
    assertEquals(200, status[0]);
    assertEquals(503, status[1]);
  }

  /**
   * The leader loses its connections to the state service and to the other controllers, but its
   * workers and users still reach it. Another controller must take the lead, and the isolated
   * controller must report itself unhealthy and close its users' connections.
   */
  @Test
  void aLeaderIsolatedWithItsWorkersIsReplacedAndClosesUserConnections() {
    List<JobSpec> all = submitMany(9, i -> job("blue", Priority.STANDARD, 6, 2, 60, false));
    cluster.runFor(50);
    String isolated = cluster.leader().platform.label();
    for (String other : List.of("state", "n0", "n1", "n2")) {
      if (!other.equals(isolated)) {
        cluster.network.setBlocked(isolated, other, true);
      }
    }
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(12);
    assertNotEquals(isolated, cluster.leader().platform.label(), "another controller leads");
    int[] up = new int[1];
    boolean[] closed = new boolean[1];
    cluster.network.send(
        "probe",
        new plumlever.settings.Endpoint(isolated, 1),
        "GET",
        "/up",
        null,
        2_000_000,
        a -> up[0] = a.status());
    cluster.network.send(
        "probe",
        new plumlever.settings.Endpoint(isolated, 1),
        "GET",
        "/submissions/job-000001",
        null,
        5_000_000,
        a -> closed[0] = a.status() == 503 && a.connectionCloses());
    cluster.runFor(5);
    assertEquals(503, up[0], "an isolated controller must report itself unhealthy");
    assertTrue(closed[0], "the isolated controller must close its users' connections");
    cluster.runFor(250);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * The leader reaches the state service and the other controllers, but none of its workers. A
   * controller that reaches the workers must take the lead.
   */
  @Test
  void aLeaderCutOffFromAllWorkersIsReplaced() {
    List<JobSpec> all = submitMany(6, i -> job("blue", Priority.STANDARD, 6, 2, 60, false));
    cluster.runFor(50);
    String isolated = cluster.leader().platform.label();
    cluster.cloud.machines.keySet().forEach(h -> cluster.network.setBlocked(isolated, h, true));
    cluster.runFor(22);
    assertNotEquals(isolated, cluster.leader().platform.label(), "another controller leads");
    cluster.runFor(250);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * The leader is cut off from a zone for more than twice the lease time. The other controllers
   * reach the zone and must renew the leases of its machines on the leader's behalf. A job
   * cancelled during the partition must still end in the zone.
   */
  @Test
  void delegatesRenewLeasesBehindAPartition() {
    List<JobSpec> all = submitMany(10, i -> job("blue", Priority.STANDARD, 8, 2, 90, false));
    JobSpec cancelled = job("blue", Priority.STANDARD, 12, 2, 200, false);
    users.submit(cancelled, false);
    cluster.runFor(45);
    String leader = cluster.leader().platform.label();
    List<String> zoneMachines =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("a") && v.worker != null)
            .map(v -> v.id)
            .toList();
    assertTrue(zoneMachines.size() >= 4, "the zone has machines");
    zoneMachines.forEach(h -> cluster.network.setBlocked(leader, h, true));
    cluster.at(5_000_000, () -> users.cancel(cancelled.uid()));
    cluster.at(
        45_000_000, () -> zoneMachines.forEach(h -> cluster.network.setBlocked(leader, h, false)));
    cluster.runFor(60);
    long renewed =
        cluster.controllers.values().stream()
            .mapToLong(m -> m.controller().metrics().counter("leases_renewed_for_leader"))
            .sum();
    assertTrue(renewed > 20, "delegates renewed leases, counted " + renewed);
    assertEquals(
        0,
        cluster.leader().controller().metrics().counter("attempts_lost"),
        "no task attempt was lost");
    assertEquals(leader, cluster.leader().platform.label());
    cluster.runFor(150);
    assertDone(all.toArray(new JobSpec[0]));
    assertEquals("aborted", cluster.invariants.lastReportedStatus.get(cancelled.uid()));
  }

  /**
   * No controller reaches a zone. The leader's delegation of lease renewal to other controllers
   * must not noticeably delay the restart of the zone's tasks elsewhere.
   */
  @Test
  void tasksOfAZoneThatNoControllerReachesAreReleased() {
    List<JobSpec> all = submitMany(10, i -> job("blue", Priority.STANDARD, 8, 2, 60, false));
    cluster.runFor(45);
    cluster.cloud.machines.values().stream()
        .filter(v -> v.zone.equals("a") && v.worker != null)
        .forEach(v -> cluster.network.blockedLinks.put(v.id + ">*", true));
    cluster.runFor(48);
    assertTrue(
        cluster.leader().controller().metrics().counter("attempts_lost") > 0,
        "tasks in the unreachable zone are released");
    cluster.runFor(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * The leader crashes while other controllers renew worker leases on its behalf. The successor
   * must not consider the machines lost before the renewed leases have expired.
   */
  @Test
  void aNewLeaderWaitsForLeasesRenewedByDelegates() {
    List<JobSpec> all = submitMany(10, i -> job("blue", Priority.STANDARD, 8, 2, 60, i % 2 == 0));
    cluster.runFor(45);
    String leader = cluster.leader().platform.label();
    List<String> zoneMachines =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("a") && v.worker != null)
            .map(v -> v.id)
            .toList();
    zoneMachines.forEach(h -> cluster.network.setBlocked(leader, h, true));
    cluster.cloud.outage = true;
    cluster.runFor(20);
    // From now on no controller reaches the zone.
    zoneMachines.forEach(
        h -> cluster.controllers.keySet().forEach(n -> cluster.network.setBlocked(n, h, true)));
    cluster.leader().crash(1);
    cluster.at(
        60_000_000,
        () ->
            zoneMachines.forEach(
                h ->
                    cluster
                        .controllers
                        .keySet()
                        .forEach(n -> cluster.network.setBlocked(n, h, false))));
    cluster.runFor(90);
    cluster.cloud.outage = false;
    cluster.runFor(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * The state service does not answer any controller. Controllers must stay healthy in an outage
   * that affects all of them, because users would find no better controller. {@link UsersTest}
   * covers an outage in which the state service refuses all requests.
   */
  @Test
  void aStateServiceOutageMakesNoControllerUnhealthy() {
    cluster.runFor(10);
    for (String controller : List.of("n0", "n1", "n2")) {
      cluster.network.setBlocked(controller, "state", true);
    }
    List<Integer> seen = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      for (SimulatedController controller : cluster.controllers.values()) {
        controller
            .controller()
            .router()
            .handle("GET", "/up", new byte[0], (s, json, retry) -> seen.add(s));
      }
      cluster.runFor(1);
    }
    assertEquals(List.of(200), seen.stream().distinct().toList());
  }

  /**
   * The leader and then every controller crash and restart within 0.15 s, also during the election
   * that follows, and 5% of the calls are executed twice. No task may start twice.
   */
  @Test
  void immediateRestartsStartNoTaskTwice() {
    cluster.network.repeatedShare = 0.05;
    List<JobSpec> all = submitMany(8, i -> job("blue", Priority.STANDARD, 6, 2, 40, i % 2 == 0));
    cluster.runFor(40);
    for (int round = 0; round < 6; round++) {
      cluster.leader().crash(0.15);
      for (SimulatedController controller : cluster.controllers.values()) {
        cluster.at(300_000L * (round + 1), () -> controller.crash(0.1));
      }
      cluster.runFor(20);
    }
    cluster.runFor(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * Direct commands are delivered again up to a minute after they were executed. The duplicates
   * must not restart a task that has been removed from the machine.
   */
  @Test
  void aLateDuplicateOfADirectCommandStartsNoTask() {
    cluster.network.duplicatedCommandShare = 1;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      JobSpec job = job("blue", Priority.STANDARD, 6, 2, 90, false);
      all.add(job);
      users.submit(job, true);
    }
    cluster.runFor(240);
    assertEquals(List.of(), cluster.invariants.violations);
    all.forEach(j -> assertEquals("aborted", cluster.invariants.lastReportedStatus.get(j.uid())));
  }

  /**
   * Most responses to direct commands are lost, so the leader does not know which tasks started.
   * The tasks must stay assigned until the worker has a higher fencing token and would refuse the
   * commands.
   */
  @Test
  void anUnansweredDirectCommandHoldsItsTaskUntilTheTokenIsRaised() {
    JobSpec first = submit(job("blue", Priority.STANDARD, 8, 2, 5, false));
    cluster.runFor(40);
    assertDone(first);
    cluster.network.lostCommandResponseShare = 0.7;
    List<JobSpec> all = submitMany(6, 10, i -> job("blue", Priority.STANDARD, 10, 2, 8, false));
    cluster.runFor(120);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * A heartbeat sent before a direct command arrives does not list the command's task. Such a
   * heartbeat must not make the leader consider the command lost.
   */
  @Test
  void aHeartbeatThatCrossesADirectCommandDoesNotProveItLost() {
    cluster.network.extraCommandDelayMicros = 1_200_000;
    List<JobSpec> all = submitMany(10, 8, i -> job("blue", Priority.STANDARD, 10, 2, 8, false));
    cluster.runFor(120);
    assertDone(all.toArray(new JobSpec[0]));
    assertEquals(
        0,
        cluster.leader().controller().metrics().counter("starts_lost"),
        "no start command was considered lost");
    assertTrue(cluster.leader().controller().metrics().counter("starts_sent") >= 100);
  }

  /**
   * A start command is duplicated, and the duplicate with the same fencing token is still on its
   * way when the task ends. If the leader had the ended task removed from the machine, the
   * duplicate would start the task a second time.
   */
  @Test
  void noTaskIsRemovedWhileALateDuplicateCouldRestartIt() {
    cluster.network.extraCommandDelayMicros = 1_200_000;
    cluster.network.duplicatedCommandShare = 1;
    cluster.cloud.capacity = 2;
    List<JobSpec> all =
        submitMany(30, 3, i -> job("blue", Priority.STANDARD, 3 + i % 4, 1, 3 + i % 5, false));
    cluster.runFor(120);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * Aging prevents starvation: during a continuous stream of production jobs, a large one-zone job
   * of the lowest priority starts within 245 s, although its team is at its limit.
   */
  @Test
  void aLargeJobOfTheLowestPriorityStartsWithinFourMinutes() {
    cluster.cloud.capacity = 6;
    for (int i = 0; i < 150; i++) {
      cluster.at(i * 2_000_000L, () -> submit(job("red", Priority.PROD, 6, 2, 20, false)));
    }
    cluster.runFor(30);
    JobSpec large = submit(job("red", Priority.IDLE, 40, 4, 20, true));
    cluster.runFor(245);
    assertTrue(cluster.invariants.hasStarted(large.uid()), "the large job has started");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /** Verifies that the invariant checks report unanswered queries and jobs that are not served. */
  @Test
  void theCheckerReportsUnansweredQueriesAndUnservedJobs() {
    JobSpec job = submit(job("blue", Priority.STANDARD, 4, 2, 400, false));
    cluster.runFor(20);
    assertFalse(cluster.invariants.lastReportedStatus.isEmpty());
    cluster.controllers.values().forEach(SimulatedController::kill);
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(300);
    cluster.invariants.checkJobsServed();
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("forgotten")),
        "unanswered queries must be reported: " + cluster.invariants.violations);
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("half")),
        "an unserved job must be reported: " + job.uid());
  }
}
