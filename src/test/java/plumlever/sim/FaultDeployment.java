package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/** A small deployment that already runs jobs, some of them long, when faults are injected. */
final class FaultDeployment {
  static final double CANCEL_S = InvariantChecker.CANCEL_MICROS / 1e6;
  static final double LEASE_S = FakeWorker.LEASE_MICROS / 1e6;

  /** Core limit of team "red"; team "blue" has no limit. */
  static final double RED_CORE_LIMIT = 48;

  final SimulatedCluster cluster;
  final FakeUsers users;
  final List<JobSpec> jobs = new ArrayList<>();

  FaultDeployment(long seed) {
    cluster =
        new SimulatedCluster(
            seed,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 16, RED_CORE_LIMIT, 0, 0),
                new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
            seed % 2 == 0);
    users = new FakeUsers(cluster);
    for (int i = 0; i < 8; i++) {
      submit("blue", 5, 2, 30 + 20 * (i % 4), false);
    }
    cluster.runFor(45);
    assertTrue(
        cluster.invariants.starts >= 20,
        "tasks started before the faults: " + cluster.invariants.starts);
  }

  JobSpec submit(String team, int taskCount, double cores, double runS, boolean cancel) {
    return submit(team, Priority.STANDARD, taskCount, cores, runS, false, cancel);
  }

  JobSpec submit(
      String team,
      Priority priority,
      int taskCount,
      double cores,
      double runS,
      boolean oneZone,
      boolean cancel) {
    JobSpec job =
        TestJob.job(users.nextUid())
            .jobClass("c" + priority.ordinal() % 2)
            .team(team)
            .priority(priority)
            .tasks(taskCount)
            .cores(cores)
            .memoryGb(2)
            .image("img-" + jobs.size() % 3)
            .oneZone(oneZone)
            .runS(runS)
            .build();
    jobs.add(job);
    users.submit(job, cancel);
    return job;
  }

  void submitOneZone(int taskCount, double runS) {
    submit("blue", Priority.STANDARD, taskCount, 2, runS, true, false);
  }

  /** Schedules the submission of jobs at a fixed interval. */
  void submitStream(int jobs, double everyS, int taskCount, double runS) {
    for (int i = 0; i < jobs; i++) {
      cluster.at((long) (i * everyS * 1e6), () -> submit("blue", taskCount, 1, runS, false));
    }
  }

  /** Submits jobs of the team that together need more cores than its limit, and runs for 40 s. */
  void submitBeyondLimit(String team) {
    for (int i = 0; i < 6; i++) {
      submit(team, 12, 2, 40, false);
    }
    cluster.runFor(40);
  }

  String leaderLabel() {
    return cluster.leader().platform.label();
  }

  List<String> machinesIn(String zone) {
    return cluster.cloud.machines.values().stream()
        .filter(v -> v.zone.equals(zone) && v.worker != null)
        .map(v -> v.id)
        .toList();
  }

  String machineRunning(String team) {
    return cluster.cloud.machines.values().stream()
        .filter(
            v ->
                v.worker != null
                    && v.worker.tasks.values().stream()
                        .anyMatch(
                            t ->
                                t.isRunningOrFlushing()
                                    && cluster
                                        .invariants
                                        .submitted
                                        .get(t.name.substring(0, t.name.indexOf('/')))
                                        .team()
                                        .equals(team)))
        .map(v -> v.id)
        .findFirst()
        .orElseThrow();
  }

  List<String> startedJobs(int limit) {
    return jobs.stream()
        .map(JobSpec::uid)
        .filter(u -> cluster.invariants.hasStarted(u) && !cluster.invariants.allDone(u))
        .limit(limit)
        .toList();
  }

  boolean hasActiveTasks(String uid) {
    return cluster.cloud.machines.values().stream()
        .filter(v -> v.worker != null)
        .flatMap(v -> v.worker.tasks.values().stream())
        .anyMatch(t -> t.isRunningOrFlushing() && t.name.startsWith(uid + "/"));
  }

  int countReported(String status) {
    return (int)
        cluster.invariants.lastReportedStatus.values().stream().filter(status::equals).count();
  }

  long metric(String name) {
    return cluster.controllers.values().stream()
        .filter(m -> m.controller() != null)
        .mapToLong(m -> m.controller().metrics().counter(name))
        .sum();
  }

  /**
   * Ends all injected faults, turns on the checks that apply once no faults are injected, and runs
   * the deployment long enough for all jobs to be served.
   */
  void endFaults() {
    cluster.network.lostResponseShare = 0;
    cluster.network.executedLateShare = 0;
    cluster.network.duplicatedHeartbeatShare = 0;
    cluster.network.heartbeatShareKeptForNextTerm = 0;
    cluster.network.extraCommandDelayMicros = 0;
    cluster.network.machinesWithLostHeartbeats.clear();
    cluster.network.blockedLinks.clear();
    cluster.store.responseDelayMicros = 0;
    cluster.store.lateWriteShare = 0;
    cluster.store.unansweredWriteShare = 0;
    cluster.store.refusedControllers.clear();
    cluster.store.endOutage();
    cluster.cloud.machines.values().stream()
        .filter(v -> v.worker != null)
        .forEach(v -> v.worker.hung = false);
    cluster.cloud.capacity = Math.max(cluster.cloud.capacity, 14);
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(260);
  }
}
