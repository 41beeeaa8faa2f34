package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/**
 * Guards against a task that runs on two machines because the leader ends its attempt before the
 * lease of a restarted worker has ended.
 *
 * <p>Sequence: a machine's heartbeats reach no controller any more, and the machine restarts. The
 * next incarnation is known to the leader only from the response to a direct call, and a task is
 * started in it by a direct command. No controller renews the lease of the incarnation, which runs
 * from the restart. The cloud can't return the machine.
 */
final class RestartedMachineTest {
  private static final double LEASE_S = FakeWorker.LEASE_MICROS / 1e6;
  private static final long DOWN_MICROS = 290_000;
  private static final double ALL_CORES_OF_A_LARGE_MACHINE = 16;
  private static final int MACHINES = 8;

  private SimulatedCluster cluster;
  private FakeUsers users;

  /** The machine that restarts. */
  private FakeCloud.Vm machine;

  private JobSpec submit(double runS) {
    JobSpec job =
        TestJob.job(users.nextUid())
            .team("blue")
            .cores(ALL_CORES_OF_A_LARGE_MACHINE)
            .zone("a")
            .runS(runS)
            .build();
    users.submit(job, false);
    return job;
  }

  private void runUntil(double maxSeconds, String expected, BooleanSupplier condition) {
    for (double ran = 0; !condition.getAsBoolean(); ran += 0.01) {
      assertTrue(ran < maxSeconds, "expected within " + maxSeconds + " s: " + expected);
      cluster.runFor(0.01);
    }
  }

  private List<FakeCloud.Vm> largeMachinesInZoneA() {
    return cluster.cloud.machines.values().stream()
        .filter(vm -> vm.machineType.equals("large") && vm.zone.equals("a") && vm.worker != null)
        .toList();
  }

  /**
   * Starts a cluster with two large machines in zone a. One of them runs a job for the given time,
   * and the other one is free.
   */
  private void createCluster(long seed, double otherMachineBusyS) {
    cluster =
        new SimulatedCluster(
            seed, 3, List.of(new PlatformConfiguration.Team("blue", 16, 0, 0, 0)), false);
    users = new FakeUsers(cluster);
    cluster.cloud.capacity = 1;
    cluster.cloud.addRunningMachines(MACHINES);
    cluster.runFor(15);
    JobSpec other = submit(otherMachineBusyS);
    runUntil(10, "the first job runs", () -> cluster.invariants.hasStarted(other.uid()));
    assertEquals(2, largeMachinesInZoneA().size());
    machine =
        largeMachinesInZoneA().stream()
            .filter(vm -> !vm.worker.hasLiveTasks())
            .findFirst()
            .orElseThrow();
  }

  /** Loses the machine's heartbeats from now on, and refuses all requests to the cloud. */
  private void muteMachine() {
    cluster.network.machinesWithLostHeartbeats.add(machine.id);
    cluster.cloud.outage = true;
  }

  private void runToTheEnd(JobSpec job) {
    cluster.runFor(2 * LEASE_S);
    cluster.network.machinesWithLostHeartbeats.clear();
    cluster.cloud.outage = false;
    cluster.runFor(100);
    assertEquals(List.of(), cluster.invariants.violations);
    assertTrue(cluster.leaseExpiryChecker.expiries > 0, "expected attempts ended by expiry");
    assertEquals("done", cluster.invariants.lastReportedStatus.get(job.uid()));
  }

  @ParameterizedTest
  @ValueSource(longs = {301, 302, 303, 304, 305, 306, 307, 308})
  void aTaskStartedAfterARestartIsNotStartedElsewhereWhileTheNewIncarnationLasts(long seed) {
    createCluster(seed, 15);
    runUntil(5, "a renewed lease", () -> machine.worker.leaseAgeMicros() < 50_000);
    muteMachine();
    cluster.runFor(4);
    machine.worker.restart(DOWN_MICROS);
    cluster.runFor(0.5);
    JobSpec job = submit(60);
    cluster.runFor(5);
    assertTrue(machine.worker.hasLiveTasks(), "expected the task on the restarted machine");
    assertTrue(
        cluster.leader().controller().metrics().counter("attempts_lost") > 0,
        "expected a refused direct start to the former incarnation");
    runToTheEnd(job);
  }

  /**
   * The leader is elected before the incarnation begins, and hears nothing of the machine before.
   */
  @ParameterizedTest
  @ValueSource(longs = {311, 312, 313, 314})
  void aNewLeaderCountsTheLeaseOfAnIncarnationThatBeganDuringItsTerm(long seed) {
    createCluster(seed, 15);
    muteMachine();
    SimulatedController former = cluster.leader();
    former.crash(60);
    runUntil(
        20,
        "another leader",
        () -> cluster.controllers.values().stream().anyMatch(SimulatedController::leads));
    cluster.runFor(4.2);
    machine.worker.restart(DOWN_MICROS);
    cluster.runFor(0.3);
    JobSpec job = submit(60);
    cluster.runFor(5);
    assertTrue(machine.worker.hasLiveTasks(), "expected the task on the restarted machine");
    runToTheEnd(job);
  }
}
