package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.settings.PlatformConfiguration;

/**
 * Guards against tasks that no controller knows of, on machines whose rental or deletion is carried
 * out late, or that are back within a second.
 */
final class UnknownTasksTest {
  private static final double FAULT_PHASE_S = 150;

  /** The longest delay of a request that is carried out late, and time to settle. */
  private static final double SETTLE_S = 75;

  /** A leader that has settled learns of each task within this time. */
  private static final long SAMPLE_INTERVAL_MICROS = 6_000_000;

  private final Set<String> unknownAtLastSample = new HashSet<>();
  private final Set<String> unknownTwice = new TreeSet<>();
  private SimulatedCluster cluster;
  private boolean faultsEnabled = true;

  private void submitNext(FakeUsers users) {
    users.submit(
        TestJob.job(users.nextUid())
            .team("blue")
            .tasks(1 + cluster.random.nextInt(10))
            .cores(2)
            .memoryGb(2)
            .runS(20 + cluster.random.nextInt(60))
            .build(),
        false);
    cluster.at(2_000_000 + cluster.random.nextLong(6_000_000), () -> submitNext(users));
  }

  private void restartMachines() {
    if (!faultsEnabled) {
      return;
    }
    cluster.cloud.machines.values().stream()
        .filter(vm -> vm.worker != null && cluster.random.nextInt(6) == 0)
        .forEach(vm -> vm.worker.restart(cluster.random.nextLong(900_000)));
    cluster.at(4_000_000 + cluster.random.nextLong(6_000_000), this::restartMachines);
  }

  private Optional<Attempt> knownAttempt(FakeWorker.Task task) {
    int separator = task.name.indexOf('/');
    Optional<Job> job = cluster.leader().actingLeader().job(task.name.substring(0, separator));
    return job.map(j -> j.liveAttempt(Integer.parseInt(task.name.substring(separator + 1))));
  }

  /** Returns the live tasks on machines that the leader does not track as such. */
  private List<String> unknownTasks() {
    List<String> unknown = new ArrayList<>();
    for (FakeCloud.Vm vm : cluster.cloud.machines.values()) {
      if (vm.worker == null) {
        continue;
      }
      for (FakeWorker.Task task : vm.worker.tasks.values()) {
        boolean known =
            knownAttempt(task)
                .filter(attempt -> attempt.id() == task.attempt)
                .filter(attempt -> attempt.machine().id().equals(vm.id))
                .isPresent();
        if (!task.status.equals("ended") && !known) {
          unknown.add(task.name + " attempt " + task.attempt + " on " + vm.id);
        }
      }
    }
    return unknown;
  }

  /** Records the tasks that a leader has not known at two samples in a row. */
  private void sampleUnknownTasks() {
    List<String> unknown = hasSettledLeader() ? unknownTasks() : List.of();
    unknown.stream().filter(unknownAtLastSample::contains).forEach(unknownTwice::add);
    unknownAtLastSample.clear();
    unknownAtLastSample.addAll(unknown);
    cluster.at(SAMPLE_INTERVAL_MICROS, this::sampleUnknownTasks);
  }

  private boolean hasSettledLeader() {
    return cluster.controllers.values().stream()
        .filter(SimulatedController::leads)
        .anyMatch(leader -> leader.actingLeader().failoverComplete());
  }

  @ParameterizedTest
  @ValueSource(longs = {401, 402, 403, 404, 405, 406})
  void everyTaskIsKnownOnceLateRentalsDeletionsAndRestartsAreOver(long seed) {
    cluster =
        new SimulatedCluster(
            seed, 3, List.of(new PlatformConfiguration.Team("blue", 16, 0, 0, 0)), true);
    cluster.cloud.capacity = 40;
    FakeUsers users = new FakeUsers(cluster);
    submitNext(users);
    cluster.runFor(30);
    cluster.cloud.executedLateShare = 0.5;
    cluster.at(0, this::restartMachines);
    cluster.at(0, this::sampleUnknownTasks);
    for (int i = 0; i < 4; i++) {
      cluster.at(30_000_000L * (i + 1), () -> cluster.leader().crash(0.3));
    }
    cluster.runFor(FAULT_PHASE_S);
    faultsEnabled = false;
    cluster.cloud.executedLateShare = 0;
    cluster.runFor(SETTLE_S);
    assertTrue(cluster.cloud.executedLate > 0, "expected rentals or deletions carried out late");
    assertTrue(
        cluster.cloud.machines.values().stream()
            .anyMatch(vm -> vm.worker != null && vm.worker.hasLiveTasks()),
        "expected tasks on machines");
    assertEquals(Set.of(), unknownTwice);
    assertEquals(List.of(), cluster.invariants.violations);
  }
}
