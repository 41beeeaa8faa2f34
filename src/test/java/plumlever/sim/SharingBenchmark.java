package plumlever.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.OwnerRecord;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;

/**
 * Benchmark of machine sharing between shards on simulated machines; not a test. The shards get
 * load one after the other. The benchmark runs with three shards that share machines ({@code
 * shared}), with three shards that keep their machines ({@code fixed}), or with one shard that owns
 * all machines ({@code one}). See docs/sharing.md for results.
 *
 * <p>Arguments: number of machines, mode ({@code shared}, {@code fixed} or {@code one}), and
 * optionally the limit of concurrent transfers per shard.
 */
final class SharingBenchmark {
  private static final int PHASES = 3;
  private static final double PHASE_S = 90;
  private static final double TASK_S = 20;
  private static final int TASKS_PER_JOB = 400;
  private static final double CORES_PER_MACHINE = 7;

  /**
   * Cores that the jobs of one shard need while that shard has the load, as a multiple of the cores
   * of all machines.
   */
  private static final double LOAD_FACTOR = 1.5;

  private final SimulatedCluster cluster;
  private final FakeUsers users;
  private final List<JobSpec> jobs = new ArrayList<>();
  private final String mode;

  private SharingBenchmark(int machines, String mode, int maxTransfers) {
    this.mode = mode;
    List<SharingSettings.Shard> shards = mode.equals("one") ? List.of() : PoolScenario.SHARDS;
    cluster =
        new SimulatedCluster(
            5,
            mode.equals("one") ? 3 : 6,
            List.of(new PlatformConfiguration.Team("red", 0, 0, 0, 0)),
            false,
            InvariantChecker.CANCEL_MICROS,
            new PlatformConfiguration.StateLimits(300, 40, 16_384, 12),
            shards);
    cluster.maxTransfers = maxTransfers;
    cluster.cloud.capacity = 1;
    cluster.cloud.addRunningMachines(machines);
    users = new FakeUsers(cluster);
  }

  /**
   * Prevents machine transfers by giving each shard a different sharing file: shards transfer
   * machines only if their sharing files are equal.
   */
  private void disableSharing() {
    for (SharingSettings.Shard shard : PoolScenario.SHARDS) {
      cluster.sharingDigestByShard.put(shard.name(), shard.name());
      cluster.shard(shard.name()).forEach(controller -> controller.crash(0.5));
    }
    cluster.runFor(30);
  }

  private void submit(int phase) {
    String controller = mode.equals("one") ? "n0" : "n" + 2 * phase;
    JobSpec job =
        TestJob.job(users.nextUid())
            .jobClass("c1")
            .team("red")
            .tasks(TASKS_PER_JOB)
            .imageGb(0.1)
            .runS(TASK_S)
            .deadlineS(60)
            .build();
    jobs.add(job);
    users.connect(job.uid(), controller);
    users.submit(job, false);
  }

  private long counterTotal(String counter) {
    return cluster.controllers.values().stream()
        .mapToLong(controller -> controller.controller().metrics().counter(counter))
        .sum();
  }

  private void run(int machines) {
    cluster.runFor(60);
    if (mode.equals("fixed")) {
      disableSharing();
    }
    int changesBefore = cluster.store.changesOf("");
    int requestsBefore = cluster.store.requestCount;
    long takenBefore = counterTotal("machines_taken");
    List<String> phaseReports = new ArrayList<>();
    for (int phase = 0; phase < PHASES; phase++) {
      phaseReports.add(runPhase(phase, machines));
    }
    long transfers = counterTotal("machines_taken") - takenBefore;
    cluster.runFor(120);
    int ownerRecordBytes = 0;
    for (JsonNode value : cluster.store.values("pool/owners/")) {
      ownerRecordBytes += Json.write(value).length();
    }
    System.out.printf(
        "%d machines, %s: %s; tasks %d, starts %d, transfers %d, writes %d, requests %d, owner"
            + " record bytes %d, violations %s%n",
        machines,
        mode,
        phaseReports,
        jobs.stream().mapToInt(JobSpec::taskCount).sum(),
        cluster.invariants.starts,
        transfers,
        cluster.store.changesOf("") - changesBefore,
        cluster.store.requestCount - requestsBefore,
        ownerRecordBytes,
        cluster.invariants.violations);
  }

  private String runPhase(int phase, int machines) {
    long startMicros = cluster.now();
    long takenBefore = counterTotal("machines_taken");
    int first = jobs.size();
    double tasks = LOAD_FACTOR * CORES_PER_MACHINE * machines;
    for (int i = 0; i * TASKS_PER_JOB < tasks; i++) {
      submit(phase);
    }
    Map<String, Integer> ownersBefore = owners();
    long firstTransfer = -1;
    long firstStart = -1;
    long allDone = -1;
    while (cluster.now() - startMicros < PHASE_S * 1e6) {
      cluster.runFor(0.5);
      if (firstTransfer < 0 && counterTotal("machines_taken") > takenBefore) {
        firstTransfer = cluster.now() - startMicros;
      }
      if (firstStart < 0 && taskRunsOnTransferredMachine(first, phase, ownersBefore)) {
        firstStart = cluster.now() - startMicros;
      }
      if (allDone < 0
          && jobs.subList(first, jobs.size()).stream()
              .allMatch(job -> cluster.invariants.allDone(job.uid()))) {
        allDone = cluster.now() - startMicros;
      }
    }
    return "first transfer %s, first start on received machine %s, all tasks done %s, %d transfers"
        .formatted(
            seconds(firstTransfer),
            seconds(firstStart),
            seconds(allDone),
            counterTotal("machines_taken") - takenBefore);
  }

  /** Returns the index of the owning shard for each machine, from the owner records. */
  private Map<String, Integer> owners() {
    Map<String, OwnerRecord> records = new HashMap<>();
    cluster
        .store
        .entries("pool/owners/")
        .forEach(
            (key, value) -> {
              try {
                records.put("/" + key, OwnerRecord.parse(value));
              } catch (InvalidMessageException e) {
                throw new AssertionError(e);
              }
            });
    Map<String, Integer> owners = new HashMap<>();
    for (String machine : cluster.cloud.machines.keySet()) {
      OwnerRecord record = records.getOrDefault(OwnerRecord.keyOf(machine), OwnerRecord.EMPTY);
      for (int i = 0; i < PoolScenario.SHARDS.size(); i++) {
        if (record.holder(machine).equals(Optional.of(PoolScenario.SHARDS.get(i).name()))) {
          owners.put(machine, i);
        }
      }
    }
    return owners;
  }

  private boolean taskRunsOnTransferredMachine(
      int firstJob, int shard, Map<String, Integer> ownersBefore) {
    Set<String> uids = new HashSet<>();
    jobs.subList(firstJob, jobs.size()).forEach(job -> uids.add(job.uid()));
    return cluster.cloud.machines.values().stream()
        .filter(vm -> vm.worker != null)
        .filter(vm -> ownersBefore.getOrDefault(vm.id, shard) != shard)
        .flatMap(vm -> vm.worker.tasks.values().stream())
        .anyMatch(
            task ->
                task.isRunningOrFlushing()
                    && uids.contains(task.name.substring(0, task.name.indexOf('/'))));
  }

  private static String seconds(long micros) {
    return micros < 0 ? "none" : micros / 1e6 + " s";
  }

  /** Runs the benchmark once. */
  public static void main(String[] arguments) {
    int machines = Integer.parseInt(arguments[0]);
    int maxTransfers = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 8;
    new SharingBenchmark(machines, arguments[1], maxTransfers).run(machines);
  }
}
