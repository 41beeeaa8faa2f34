package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.OwnerRecord;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;

/** A simulated pool of three shards with two controllers each, and operations on it for tests. */
final class PoolScenario {
  static final String SOURCE = "east";
  static final String TARGET = "north";
  static final String THIRD = "west";

  static final List<SharingSettings.Shard> SHARDS =
      List.of(
          new SharingSettings.Shard(SOURCE, "east/", Set.of("n0", "n1"), 0, 1),
          new SharingSettings.Shard(TARGET, "north/", Set.of("n2", "n3"), 0, 1),
          new SharingSettings.Shard(THIRD, "west/", Set.of("n4", "n5"), 0, 1));

  /** Simulated time after which the shards have claimed all machines. */
  private static final double MACHINES_CLAIMED_AFTER_S = 40;

  final SimulatedCluster cluster;
  final FakeUsers users;
  final List<JobSpec> jobs = new ArrayList<>();

  /**
   * @param redLimit cores that the team {@code red} may use; 0 for no limit
   * @param machines number of machines that run at the start; the cloud offers hardly any more
   */
  PoolScenario(long seed, double redLimit, int machines) {
    this(seed, redLimit, machines, InvariantChecker.CANCEL_MICROS);
  }

  /**
   * @param cancelMicros time within which the controllers have to end the tasks of a cancelled job,
   *     according to their settings
   */
  PoolScenario(long seed, double redLimit, int machines, long cancelMicros) {
    cluster =
        new SimulatedCluster(
            seed,
            6,
            List.of(
                new PlatformConfiguration.Team("red", 20, redLimit, 0, 0),
                new PlatformConfiguration.Team("blue", 20, 0, 0, 0)),
            false,
            cancelMicros,
            new PlatformConfiguration.StateLimits(400, 60, 4096, 8),
            SHARDS);
    cluster.cloud.capacity = 1;
    cluster.cloud.addRunningMachines(machines);
    users = new FakeUsers(cluster);
    cluster.runFor(MACHINES_CLAIMED_AFTER_S);
  }

  /** Submits a job with one core per task to a controller; its shard becomes the job's shard. */
  JobSpec submit(String controller, int tasks, double seconds) {
    return submit(controller, jobs.size() % 2 == 0 ? "red" : "blue", tasks, seconds);
  }

  JobSpec submit(String controller, String team, int tasks, double seconds) {
    JobSpec job =
        TestJob.job(users.nextUid())
            .jobClass("c1")
            .team(team)
            .tasks(tasks)
            .memoryGb(2)
            .image("img-1")
            .runS(seconds)
            .checkpoints(5, 1)
            .build();
    jobs.add(job);
    users.connect(job.uid(), controller);
    users.submit(job, false);
    return job;
  }

  /** Returns the owner of the machine according to the owner records, or an empty string. */
  String ownerOf(String machine) {
    for (Map.Entry<String, com.fasterxml.jackson.databind.JsonNode> entry :
        cluster.store.entries("pool/owners/").entrySet()) {
      if (("/" + entry.getKey()).equals(OwnerRecord.keyOf(machine))) {
        try {
          return OwnerRecord.parse(entry.getValue()).holder(machine).orElse("");
        } catch (InvalidMessageException e) {
          throw new AssertionError(e);
        }
      }
    }
    return "";
  }

  /** Returns the shard's machines with running tasks, the machine with the most tasks first. */
  List<String> machinesWithTasks(String shard) {
    return cluster.cloud.machines.values().stream()
        .filter(vm -> vm.worker != null && runningTasks(vm.id) > 0 && ownerOf(vm.id).equals(shard))
        .sorted((one, other) -> Integer.compare(runningTasks(other.id), runningTasks(one.id)))
        .map(vm -> vm.id)
        .toList();
  }

  int runningTasks(String machine) {
    FakeCloud.Vm vm = cluster.cloud.machines.get(machine);
    return vm == null || vm.worker == null
        ? 0
        : (int)
            vm.worker.tasks.values().stream().filter(FakeWorker.Task::isRunningOrFlushing).count();
  }

  FakeWorker worker(String machine) {
    return cluster.cloud.machines.get(machine).worker;
  }

  void transfer(String from, String machine, String to) {
    assertTrue(
        cluster.leader(from).actingLeader().transfer(machine, to),
        machine + " cannot be transferred by " + from);
  }

  /** Transfers the machine as soon as a leader of the source shard accepts the request. */
  void transferWhenPossible(String from, String machine, String to) {
    cluster.at(
        0,
        () -> {
          boolean accepted =
              cluster.shard(from).stream()
                  .filter(SimulatedController::leads)
                  .anyMatch(leader -> leader.actingLeader().transfer(machine, to));
          if (!accepted) {
            cluster.at(200_000, () -> transferWhenPossible(from, machine, to));
          }
        });
  }

  /**
   * Runs the action immediately before a transaction that writes a machine transfer record: the
   * next such transaction if {@code number} is 1, the one after it if 2, and so on.
   */
  void beforeTransferStep(int number, Runnable action) {
    cluster.store.interventionPrefix = "pool/transfers/";
    cluster.store.intervention =
        number == 1 ? action : () -> cluster.at(0, () -> beforeTransferStep(number - 1, action));
  }

  void cancel(String controller, JobSpec job, Consumer<Integer> status) {
    users.cancelAt(new Endpoint(controller, 1), job.uid(), status);
  }

  /**
   * Ends all faults, runs the simulation, and asserts that every job has ended, no invariant was
   * violated, and no transfer record remains. Cancelled jobs must be reported as cancelled, all
   * others as done.
   */
  void assertAllJobsEnd(double seconds) {
    cluster.network.blockedLinks.clear();
    cluster.store.refusedControllers.clear();
    cluster.store.controllersWithoutWatches.clear();
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(seconds);
    assertEquals(List.of(), cluster.invariants.violations);
    for (JobSpec job : jobs) {
      String expected = cluster.invariants.cancelledAt.containsKey(job.uid()) ? "aborted" : "done";
      assertEquals(expected, cluster.invariants.lastReportedStatus.get(job.uid()), job.uid());
    }
    assertEquals(
        Map.of(), cluster.store.entries("pool/transfers/"), "transfer records that remain");
  }

  /** Asserts that every task was started exactly once. */
  void assertEveryTaskStartedOnce() {
    int tasks = jobs.stream().mapToInt(JobSpec::taskCount).sum();
    assertEquals(tasks, cluster.invariants.starts, "number of task starts");
  }
}
