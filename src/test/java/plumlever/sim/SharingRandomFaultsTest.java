package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.settings.PlatformConfiguration;

/**
 * Simulations of three shards with random faults, one per seed. Machines with running tasks are
 * transferred between the shards every few seconds, under the same faults as in {@link
 * SimulationTest}. The invariant checks follow each task across shards.
 */
final class SharingRandomFaultsTest {
  private static final List<String> SHARDS =
      List.of(PoolScenario.SOURCE, PoolScenario.TARGET, PoolScenario.THIRD);
  private static final int JOBS = 40;

  /**
   * Returns the seeds to run; {@code -Dplumlever.pool.first=F -Dplumlever.pool.seeds=N} selects N
   * seeds from seed F.
   */
  static LongStream seeds() {
    long first = Long.getLong("plumlever.pool.first", 1);
    return LongStream.range(first, first + Integer.getInteger("plumlever.pool.seeds", 8));
  }

  private static SimulatedCluster cluster(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            6,
            List.of(
                new PlatformConfiguration.Team("red", 16, 48, 0, 0),
                new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
            seed % 2 == 0,
            InvariantChecker.CANCEL_MICROS,
            new PlatformConfiguration.StateLimits(400, 60, 4096, 8),
            PoolScenario.SHARDS);
    cluster.cloud.capacity = 20;
    cluster.cloud.addRunningMachines(6);
    return cluster;
  }

  /** Transfers a machine with tasks from a random shard to another random shard, if possible. */
  private static void transferRandomMachine(SimulatedCluster cluster) {
    String from = SHARDS.get(cluster.random.nextInt(SHARDS.size()));
    String to = SHARDS.get(cluster.random.nextInt(SHARDS.size()));
    List<String> machinesWithTasks = new ArrayList<>();
    cluster.cloud.machines.forEach(
        (id, vm) -> {
          if (vm.worker != null && !vm.worker.tasks.isEmpty()) {
            machinesWithTasks.add(id);
          }
        });
    cluster.shard(from).stream()
        .filter(SimulatedController::leads)
        .findFirst()
        .ifPresent(
            leader -> {
              for (String machine : machinesWithTasks) {
                if (!from.equals(to) && leader.actingLeader().transfer(machine, to)) {
                  return;
                }
              }
            });
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void randomFaultsInPool(long seed) {
    SimulatedCluster cluster = cluster(seed);
    FakeUsers users = new FakeUsers(cluster);
    SimulationTest.submitOverTime(cluster, users, JOBS, 5);
    cluster.network.lostResponseShare = 0.01;
    cluster.network.executedLateShare = 0.005;
    cluster.network.repeatedShare = 0.02;
    cluster.network.duplicatedHeartbeatShare = 0.02;
    for (int i = 0; i < 16; i++) {
      cluster.at(
          20_000_000L + cluster.random.nextLong(240_000_000L),
          () -> SimulationTest.injectRandomFault(cluster));
    }
    for (int i = 0; i < 90; i++) {
      cluster.at(15_000_000L + i * 3_000_000L, () -> transferRandomMachine(cluster));
    }
    cluster.runFor(300);
    SimulationTest.endFaults(cluster);
    cluster.runFor(400);
    assertTrue(
        transferAndTermCount(cluster) >= 5,
        "machine transfers and leader terms: " + transferAndTermCount(cluster));
    SimulationTest.assertAllServed(cluster, users, JOBS);
    assertEquals(0, cluster.store.count("pool/transfers/"), "transfer records that remain");
    Map<String, Integer> limitPartSums = new TreeMap<>();
    cluster
        .store
        .values("pool/limits/")
        .forEach(
            value ->
                value
                    .path("parts")
                    .properties()
                    .forEach(
                        part ->
                            limitPartSums.merge(
                                "all", part.getValue().path(0).asInt(), Integer::sum)));
    assertEquals(Map.of("all", 48), limitPartSums, "sum of the parts of the only team limit");
  }

  /**
   * Returns the number of machine transfers and leader terms so far: the number of writes of the
   * counter that numbers both. The metrics of the controllers cannot be used, because a controller
   * loses its metrics when it restarts.
   */
  private static int transferAndTermCount(SimulatedCluster cluster) {
    return cluster.store.changesOf("pool/term");
  }
}
