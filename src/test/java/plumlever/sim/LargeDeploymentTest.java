package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * Runs deployments with hundreds of machines and thousands of tasks under controller crashes, mass
 * preemptions and outages. The asserted bounds are counts of events, which do not depend on the
 * speed of the test machine.
 */
final class LargeDeploymentTest {
  private static final int JOBS = 90;
  private static final int TASKS = 50;

  @Test
  void aThousandMachinesStayWithinEveryLimit() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            77,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 2000, 9000, 0, 0),
                new PlatformConfiguration.Team("blue", 2000, 0, 0, 0)),
            false);
    cluster.cloud.capacity = 1_000;
    FakeUsers users = new FakeUsers(cluster);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      int number = i;
      cluster.at(number * 900_000L, () -> jobs.add(submit(users, number, TASKS)));
    }
    cluster.runFor(75);
    assertLargeFleetRecorded(cluster);
    cluster.leader().crash(5);
    cluster.runFor(12);
    assertTrue(
        cluster.leader().actingLeader().failoverComplete(),
        "failover not complete 12 s after the leader's crash");
    cluster.cloud.machines.values().stream()
        .filter(v -> v.spot && v.worker != null)
        .map(v -> v.id)
        .toList()
        .stream()
        .filter(h -> cluster.random.nextBoolean())
        .forEach(cluster.cloud::delete);
    cluster.runFor(10);
    cluster.store.outage = true;
    cluster.runFor(12);
    cluster.store.endOutage();
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(360);
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals(JOBS, jobs.size());
    jobs.forEach(
        j -> assertEquals("done", cluster.invariants.lastReportedStatus.get(j.uid()), j.uid()));
    assertTrue(
        cluster.invariants.starts >= JOBS * TASKS, "task starts: " + cluster.invariants.starts);
    assertStateServiceLimitsKept(cluster);
    long candidates = counterTotal(cluster, "candidates_evaluated");
    assertTrue(candidates > 0 && candidates < 3_000_000, "candidates evaluated: " + candidates);
  }

  /**
   * Hundreds of jobs wait for a fleet without free capacity. A scheduling pass must not evaluate
   * every machine for every waiting job.
   */
  @Test
  void schedulingPassesStayShortWithHundredsOfWaitingJobs() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            78,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 0, 0, 0, 0),
                new PlatformConfiguration.Team("blue", 0, 0, 0, 0)),
            false);
    cluster.cloud.capacity = 80;
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 300; i++) {
      cluster.at(i * 50_000L, () -> users.submit(40, 2, 60, false));
    }
    cluster.runFor(60);
    long before = cluster.leader().controller().metrics().counter("candidates_evaluated");
    cluster.runFor(10);
    long candidates =
        cluster.leader().controller().metrics().counter("candidates_evaluated") - before;
    // Successive scheduling passes are at least 150 ms apart.
    long passes = 10_000_000 / 150_000;
    assertTrue(
        candidates > 0 && candidates < passes * cluster.cloud.machines.size() * 30,
        "candidates evaluated: "
            + candidates
            + " for "
            + cluster.cloud.machines.size()
            + " machines");
  }

  /**
   * Runs 1,600 machines, 1.5 times as many as the users have, through large-scale failures:
   * controllers restart in turn and all at once, dozens of machines die, dozens hang past the end
   * of their lease and resume, the leader freezes while its clocks advance, and one zone is cut off
   * for longer than a lease. The bounds on resources do not depend on the speed of the test
   * machine.
   */
  @Test
  void sixteenHundredMachinesThroughMassFailures() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            78,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 4000, 14_000, 0, 0),
                new PlatformConfiguration.Team("blue", 4000, 0, 0, 0)),
            false);
    cluster.cloud.capacity = 1_600;
    FakeUsers users = new FakeUsers(cluster);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 110; i++) {
      int number = i;
      cluster.at(
          number < 70 ? number * 300_000L : 21_000_000L + number * 700_000L,
          () -> jobs.add(submit(users, number, number < 70 ? 140 : 40)));
    }
    cluster.runFor(60);
    assertTrue(cluster.cloud.machines.size() > 1_300, "machines: " + cluster.cloud.machines.size());
    restartControllersInTurn(cluster);
    killAFewMachines(cluster);
    List.copyOf(cluster.controllers.values())
        .forEach(m -> m.crash(1 + cluster.random.nextDouble()));
    cluster.runFor(10);
    long hangS = 2 * FakeWorker.LEASE_MICROS / 1_000_000;
    hangATenthOfTheMachines(cluster, hangS);
    cluster.runFor(5);
    cluster.leader().freeze(15);
    cluster.runFor(hangS);
    blockZoneB(cluster);
    cluster.runFor(1);
    cluster.leader().crash(3);
    cluster.runFor(FakeWorker.LEASE_MICROS / 1e6 + 10);
    assertTrue(
        cluster.leader().actingLeader().failoverComplete(),
        "failover not complete 10 s after the end of a lease, with one zone cut off");
    cluster.network.blockedLinks.clear();
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(400);
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
    jobs.forEach(
        j -> assertEquals("done", cluster.invariants.lastReportedStatus.get(j.uid()), j.uid()));
    assertStateServiceLimitsKept(cluster);
    // A controller uses at most one socket for each worker, plus sockets for calls in flight. The
    // users' own deployment allows 300 sockets more.
    assertTrue(
        cluster.maxSocketsInUse <= 1_600 + 112, "sockets in use: " + cluster.maxSocketsInUse);
    long candidates = counterTotal(cluster, "candidates_evaluated");
    long heartbeats = counterTotal(cluster, "heartbeats");
    assertTrue(
        heartbeats > 10_000 && candidates / heartbeats < 60,
        "candidates evaluated per heartbeat: " + candidates / heartbeats);
  }

  private static JobSpec submit(FakeUsers users, int number, int tasks) {
    boolean slow = number % 3 == 0;
    JobSpec job =
        TestJob.job(users.nextUid())
            .jobClass(slow ? "slow" : "quick")
            .team(number % 2 == 0 ? "red" : "blue")
            .priority(slow ? Priority.IDLE : Priority.STANDARD)
            .tasks(tasks)
            .cores(2)
            .memoryGb(4)
            .image("img-" + number % 12)
            .runS(40 + number % 5 * 10)
            .deadlineS(slow ? JobSpec.NO_DEADLINE : 150)
            .checkpoints(slow ? 15 : 0, slow ? 2 : 0)
            .build();
    users.submit(job, false);
    return job;
  }

  private static void assertLargeFleetRecorded(SimulatedCluster cluster) {
    int machines = cluster.cloud.machines.size();
    assertTrue(machines > 450, "rented machines: " + machines);
    assertTrue(
        cluster.store.count("fleet/") <= 14, "machine records: " + cluster.store.count("fleet/"));
    // The hint records tell a new leader which images most machines have cached. They are split
    // into as many values as needed.
    Set<String> hinted = new HashSet<>();
    cluster
        .store
        .values("hints/")
        .forEach(v -> v.path("machines").fieldNames().forEachRemaining(hinted::add));
    long working =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .count();
    assertTrue(
        working > 300 && hinted.size() > 0.7 * working,
        hinted.size() + " machines with hints, " + working + " with tasks");
  }

  private static void assertStateServiceLimitsKept(SimulatedCluster cluster) {
    assertTrue(
        cluster.store.largestValueBytes <= 4_096,
        "largest value: " + cluster.store.largestValueBytes);
    // The settings limit the controllers to 200 requests and 25 changes a second. The rate limiters
    // also allow a burst of as many requests and changes as one second allows.
    assertTrue(
        cluster.store.maxRequestsPerSecond <= 250,
        "requests in the busiest second: " + cluster.store.maxRequestsPerSecond);
    assertTrue(
        cluster.store.maxChangesPerSecond <= 60,
        "changes in the busiest second: " + cluster.store.maxChangesPerSecond);
  }

  private static long counterTotal(SimulatedCluster cluster, String counter) {
    return cluster.controllers.values().stream()
        .mapToLong(controller -> controller.controller().metrics().counter(counter))
        .sum();
  }

  private static void restartControllersInTurn(SimulatedCluster cluster) {
    for (SimulatedController controller : List.copyOf(cluster.controllers.values())) {
      controller.crash(2);
      cluster.runFor(7);
    }
  }

  private static void killAFewMachines(SimulatedCluster cluster) {
    List<String> running =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .map(v -> v.id)
            .toList();
    running.stream()
        .filter(h -> cluster.random.nextInt(12) == 0)
        .forEach(h -> cluster.cloud.machines.get(h).worker.terminate());
    cluster.runFor(4);
  }

  private static void hangATenthOfTheMachines(SimulatedCluster cluster, long hangS) {
    cluster.cloud.machines.values().stream()
        .filter(v -> v.worker != null && cluster.random.nextInt(10) == 0)
        .toList()
        .forEach(
            v -> {
              v.worker.hung = true;
              cluster.at(hangS * 1_000_000, () -> v.worker.hung = false);
            });
  }

  private static void blockZoneB(SimulatedCluster cluster) {
    List<String> zoneMachines =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("b"))
            .map(v -> v.id)
            .toList();
    zoneMachines.forEach(
        h -> {
          cluster.network.blockedLinks.put("*>" + h, true);
          cluster.network.blockedLinks.put(h + ">*", true);
        });
  }
}
