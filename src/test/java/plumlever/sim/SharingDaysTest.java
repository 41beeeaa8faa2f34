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
 * Days of three shards by seed: machines are given away with their tasks every few seconds, through
 * all the troubles that a single shard is played with. The checks watch each task over shards.
 */
final class SharingDaysTest {
  private static final List<String> SHARDS =
      List.of(PoolScenario.GIVER, PoolScenario.TAKER, PoolScenario.THIRD);
  private static final int JOBS = 40;

  /** {@code -Dplumlever.pool.first=F -Dplumlever.pool.seeds=N} plays others. */
  static LongStream seeds() {
    long first = Long.getLong("plumlever.pool.first", 1);
    return LongStream.range(first, first + Integer.getInteger("plumlever.pool.seeds", 8));
  }

  private static SimulatedCluster pool(long seed) {
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
    cluster.cloud.most = 20;
    cluster.cloud.provide(6);
    return cluster;
  }

  /** Some machine of some shard is given to another, with whatever runs on it. */
  private static void move(SimulatedCluster cluster) {
    String from = SHARDS.get(cluster.random.nextInt(SHARDS.size()));
    String to = SHARDS.get(cluster.random.nextInt(SHARDS.size()));
    List<String> busy = new ArrayList<>();
    cluster.cloud.machines.forEach(
        (id, vm) -> {
          if (vm.worker != null && !vm.worker.tasks.isEmpty()) {
            busy.add(id);
          }
        });
    cluster.shard(from).stream()
        .filter(SimulatedController::leads)
        .findFirst()
        .ifPresent(
            leader -> {
              for (String machine : busy) {
                if (!from.equals(to) && leader.actingLeader().transfer(machine, to)) {
                  return;
                }
              }
            });
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void troubledDayOfAPool(long seed) {
    SimulatedCluster cluster = pool(seed);
    FakeUsers users = new FakeUsers(cluster);
    SimulationTest.submitOverTime(cluster, users, JOBS, 5);
    cluster.network.lostAnswerShare = 0.01;
    cluster.network.executedLateShare = 0.005;
    cluster.network.repeatedShare = 0.02;
    cluster.network.copiedHeartbeatShare = 0.02;
    for (int i = 0; i < 16; i++) {
      cluster.at(
          20_000_000L + cluster.random.nextLong(240_000_000L),
          () -> SimulationTest.trouble(cluster));
    }
    for (int i = 0; i < 90; i++) {
      cluster.at(15_000_000L + i * 3_000_000L, () -> move(cluster));
    }
    cluster.play(300);
    SimulationTest.calm(cluster);
    cluster.play(400);
    assertTrue(taken(cluster) >= 5, "moves: " + taken(cluster));
    SimulationTest.assertAllServed(cluster, users, JOBS);
    assertEquals(0, cluster.store.count("pool/transfers/"), "all transfers are settled");
    Map<String, Integer> parts = new TreeMap<>();
    cluster
        .store
        .values("pool/limits/")
        .forEach(
            value ->
                value
                    .path("parts")
                    .properties()
                    .forEach(
                        part -> parts.merge("all", part.getValue().path(0).asInt(), Integer::sum)));
    assertEquals(Map.of("all", 48), parts, "parts of the only limit");
  }

  /** As the changes of owners show it: counters of a controller end with it. */
  private static int taken(SimulatedCluster cluster) {
    return cluster.store.changesOf("pool/term");
  }
}
