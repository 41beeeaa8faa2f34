package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.ProtocolPath;

/**
 * Jobs are cancelled through another controller while the leader cannot learn of the cancellation.
 * The tasks of the cancelled jobs must still end within the time limit that starts when a
 * cancellation is confirmed (rules 49 and 50 of docs/design.md).
 */
final class UnseenCancellationTest {
  private SimulatedCluster cluster;
  private FakeUsers users;
  private final List<JobSpec> jobs = new ArrayList<>();

  private void deploy(long seed, long assumedCancelMicros) {
    cluster =
        new SimulatedCluster(
            seed,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 16, 48, 0, 0),
                new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
            false,
            assumedCancelMicros);
    users = new FakeUsers(cluster);
    for (int i = 0; i < 6; i++) {
      JobSpec job = TestJob.job(users.nextUid()).tasks(6).cores(2).memoryGb(2).runS(300).build();
      jobs.add(job);
      users.submit(job, false);
    }
    cluster.runFor(45);
    assertTrue(runningTasks() >= 30, "running tasks: " + runningTasks());
  }

  private int runningTasks() {
    return (int)
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .flatMap(v -> v.worker.tasks.values().stream())
            .filter(FakeWorker.Task::isRunningOrFlushing)
            .count();
  }

  private SimulatedController anyControllerExcept(SimulatedController excluded) {
    return cluster.controllers.values().stream()
        .filter(m -> m != excluded)
        .findFirst()
        .orElseThrow();
  }

  /** Cancels the job through the controller; the consumer gets the status code of the response. */
  private void cancelAt(SimulatedController controller, JobSpec job, Consumer<Integer> status) {
    users.cancelAt(new Endpoint(controller.platform.label(), 1), job.uid(), status);
  }

  /**
   * The state service refuses requests of the leader only, jobs are cancelled through another
   * controller, and then the state service fails for all controllers, for longer than the time
   * limit of a cancellation. Workers keep sending heartbeats to the old leader.
   */
  @ParameterizedTest
  @ValueSource(longs = {71, 72, 73, 74})
  void cancelledThroughAnotherControllerBeforeLongOutage(long seed) {
    deploy(seed, InvariantChecker.CANCEL_MICROS);
    SimulatedController leader = cluster.leader();
    String label = leader.platform.label();
    cluster.store.refusedControllers.add(label);
    List<Integer> statuses = new ArrayList<>();
    cluster.at(
        300_000,
        () ->
            jobs.subList(0, 4)
                .forEach(j -> cancelAt(anyControllerExcept(leader), j, statuses::add)));
    cluster.at(1_200_000 + 200_000 * (seed % 4), () -> cluster.store.outage = true);
    cluster.runFor(2);
    assertEquals(
        List.of(200, 200, 200, 200),
        statuses,
        "status codes of the cancellations before the outage");
    assertTrue(
        cluster.store.refusals.getOrDefault(label, 0) > 0, "no request of the leader was refused");
    cluster.runFor(1);
    assertTrue(
        cluster.cloud.countWorkersSendingTo(label) > 0,
        "no worker sends heartbeats to the old leader");
    cluster.at(55_000_000, cluster.store::endOutage);
    cluster.at(60_000_000, () -> cluster.store.refusedControllers.clear());
    cluster.runFor(InvariantChecker.CANCEL_MICROS / 1e6 + 90);
    assertEquals(List.of(), cluster.invariants.violations);
    jobs.subList(0, 4)
        .forEach(j -> assertEquals("aborted", cluster.invariants.lastReportedStatus.get(j.uid())));
    assertNotEquals(0, runningTasks(), "running tasks of the jobs that were not cancelled");
  }

  /**
   * The leader keeps leadership, because its leader lease is renewed, but its watches are never
   * answered and its peers cannot reach it. The cancelled tasks end in time only if the leader
   * stops renewing worker leases once its view of ended jobs is too old.
   *
   * @param assumedCancelMicros time within which the controllers assume that the tasks of a
   *     cancelled job have to end
   */
  private void cancelWithoutWatches(long assumedCancelMicros) {
    deploy(75, assumedCancelMicros);
    SimulatedController leader = cluster.leader();
    cluster.store.controllersWithoutWatches.add(leader.platform.label());
    cluster.runFor(2);
    List<Integer> statuses = new ArrayList<>();
    // Prevents the peers from notifying the leader of the cancellations.
    cluster.controllers.keySet().stream()
        .filter(o -> !o.equals(leader.platform.label()))
        .forEach(o -> cluster.network.setBlocked(leader.platform.label(), o, true));
    jobs.subList(0, 4).forEach(j -> cancelAt(anyControllerExcept(leader), j, statuses::add));
    cluster.runFor(1);
    assertEquals(List.of(200, 200, 200, 200), statuses);
    cluster.runFor(InvariantChecker.CANCEL_MICROS / 1e6 + 5);
    assertTrue(leader.leads(), "the leader lost leadership");
  }

  @Test
  void leaderWithoutWatchesLetsLeasesLapseInTime() {
    cancelWithoutWatches(InvariantChecker.CANCEL_MICROS);
    assertEquals(List.of(), cluster.invariants.violations);
    assertTrue(
        cluster.leader().controller().metrics().counter("renewals_refused") > 0,
        "no renewal was refused because of the bound");
  }

  /**
   * Verifies that the invariant checks report cancelled tasks that run too long. In this test, the
   * leader assumes a time limit of one hour for a cancellation and keeps renewing worker leases.
   */
  @Test
  void withoutBoundCancelledTasksOutliveTimeLimit() {
    cancelWithoutWatches(3_600_000_000L);
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("ran_cancelled")),
        "the invariant check did not detect the missing bound");
  }

  /**
   * The controller that confirmed a cancellation notifies the leader through a peer message, and
   * the leader stops the tasks long before their leases end.
   */
  @Test
  void peersNotifyLeaderOfCancellations() {
    deploy(77, InvariantChecker.CANCEL_MICROS);
    SimulatedController leader = cluster.leader();
    cluster.store.controllersWithoutWatches.add(leader.platform.label());
    cluster.runFor(2);
    List<Integer> statuses = new ArrayList<>();
    jobs.subList(0, 4).forEach(j -> cancelAt(anyControllerExcept(leader), j, statuses::add));
    cluster.runFor(8);
    assertEquals(List.of(200, 200, 200, 200), statuses);
    assertTrue(leader.leads());
    long cancelledTasksRunning =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .flatMap(v -> v.worker.tasks.values().stream())
            .filter(
                t ->
                    t.isRunningOrFlushing()
                        && jobs.subList(0, 4).stream()
                            .anyMatch(j -> t.name.startsWith(j.uid() + "/")))
            .count();
    assertEquals(
        0, cancelledTasksRunning, "running tasks of cancelled jobs before their leases end");
    assertTrue(runningTasks() > 0, "no task of the other jobs runs");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /**
   * A new leader renews no lease of a machine with tasks before the leader has read which jobs have
   * ended.
   */
  @Test
  void leaderRenewsNothingBeforeReadingJobs() {
    deploy(76, InvariantChecker.CANCEL_MICROS);
    cluster.store.unansweredListingPrefix = "active/";
    cluster.leader().crash(20);
    cluster.runFor(8);
    SimulatedController newLeader = cluster.leader();
    long[] sent = new long[1];
    int[] status = new int[1];
    FakeCloud.Vm machineWithTasks =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .findFirst()
            .orElseThrow();
    sent[0] = cluster.now();
    long[] answered = new long[1];
    newLeader
        .controller()
        .router()
        .handle(
            "POST",
            ProtocolPath.HEARTBEAT,
            machineWithTasks.worker.statusBytes(),
            (s, json, retry) -> {
              status[0] = s;
              answered[0] = cluster.now();
            });
    cluster.runFor(3.5);
    assertEquals(503, status[0], "heartbeat before the leader has read the jobs");
    assertTrue(
        answered[0] - sent[0] <= 3_000_000,
        "the response must arrive before the worker's request times out");
    cluster.store.unansweredListingPrefix = null;
    cluster.runFor(120);
    assertEquals(List.of(), cluster.invariants.violations);
  }
}
