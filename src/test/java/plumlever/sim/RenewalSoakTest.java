package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/**
 * Guards against attempts that start or keep running longer than the cancellation limit after the
 * cancellation of their job was confirmed. Random simulations combine the faults that can lead
 * there: links delay messages for seconds up to more than the limit, zones are partitioned, lease
 * renewal is delegated, leaders change, and workers hang and resume, while most jobs are cancelled
 * soon after they are accepted.
 *
 * <p>{@code -Dplumlever.soak.first=F -Dplumlever.soak.seeds=N} runs N seeds from seed F.
 */
final class RenewalSoakTest {
  private static final long FIRST_SEED = 7_100;
  private static final int SEEDS = 16;
  private static final double TROUBLED_S = 420;
  private static final double CALM_S = 130;
  private static final int CANCELLED_OF_TEN = 7;

  /** The simulation of one seed. */
  private static final class Day {
    private final SimulatedCluster cluster;
    private final FakeUsers users;
    private boolean troubled = true;

    Day(long seed) {
      cluster =
          new SimulatedCluster(
              seed,
              3,
              List.of(
                  new PlatformConfiguration.Team("red", 16, 64, 0, 0),
                  new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
              false);
      users = new FakeUsers(cluster);
    }

    void play() {
      cluster.at(0, this::submitNext);
      cluster.play(40);
      cluster.network.heldCommandShare = 0.02;
      cluster.network.heldCommandMicros = InvariantChecker.CANCEL_MICROS * 3 / 2;
      cluster.network.copiedHeartbeatShare = 0.01;
      cluster.at(0, this::troubleNext);
      cluster.play(TROUBLED_S);
      troubled = false;
      cluster.network.cuts.clear();
      cluster.network.heldCommandShare = 0;
      cluster.store.refused.clear();
      cluster.store.endOutage();
      cluster.cloud.machines.values().stream()
          .filter(vm -> vm.worker != null)
          .forEach(vm -> vm.worker.hung = false);
      cluster.calmSince = cluster.now();
      cluster.play(CALM_S);
    }

    private void submitNext() {
      if (!troubled) {
        return;
      }
      JobSpec job = job();
      users.submit(job, false);
      if (cluster.random.nextInt(10) < CANCELLED_OF_TEN) {
        cluster.at(
            300_000 + cluster.random.nextLong(8_000_000),
            () -> users.cancelOnceAccepted(job.uid()));
      }
      cluster.at(300_000 + cluster.random.nextLong(900_000), this::submitNext);
    }

    private JobSpec job() {
      return TestJob.job(users.nextUid())
          .team(cluster.random.nextInt(3) == 0 ? "red" : "blue")
          .tasks(1 + cluster.random.nextInt(4))
          .cores(2)
          .memoryGb(2)
          .image("img-" + cluster.random.nextInt(2))
          .oneZone(cluster.random.nextInt(6) == 0)
          .runS(15 + cluster.random.nextInt(45))
          .build();
    }

    private void troubleNext() {
      if (!troubled) {
        return;
      }
      long lastsMicros = 2_000_000L + cluster.random.nextLong(68_000_000L);
      switch (cluster.random.nextInt(8)) {
        case 0, 1, 2 -> zonesApart(lastsMicros);
        case 3 -> leaderWithoutZone(lastsMicros);
        case 4 -> flapping(lastsMicros);
        case 5 -> hang(lastsMicros);
        case 6 -> refuseLeader(lastsMicros / 4);
        default -> anyController().crash(0.2 + cluster.random.nextInt(7));
      }
      if (cluster.random.nextInt(4) == 0) {
        cluster.at(cluster.random.nextLong(lastsMicros), () -> anyController().crash(0.2));
      }
      cluster.at(lastsMicros / 2 + cluster.random.nextLong(30_000_000L), this::troubleNext);
    }

    private SimulatedController anyController() {
      List<SimulatedController> all = new ArrayList<>(cluster.controllers.values());
      return all.get(cluster.random.nextInt(all.size()));
    }

    private List<String> machinesIn(String zone) {
      return cluster.cloud.machines.values().stream()
          .filter(vm -> vm.zone.equals(zone))
          .map(vm -> vm.id)
          .toList();
    }

    /** Cuts the network between two hosts and restores it after this time. */
    private void hold(String one, String other, long lastsMicros) {
      cluster.network.cut(one, other, true);
      cluster.at(lastsMicros, () -> cluster.network.cut(one, other, false));
    }

    /**
     * Partitions the network: one controller and the machines of one zone on one side, all other
     * hosts on the other.
     */
    private void zonesApart(long lastsMicros) {
      String inside = anyController().platform.label();
      String zone = cluster.random.nextBoolean() ? "a" : "b";
      for (String other : cluster.controllers.keySet()) {
        if (!other.equals(inside)) {
          hold(inside, other, lastsMicros);
          machinesIn(zone).forEach(machine -> hold(other, machine, lastsMicros));
        }
      }
      machinesIn(zone.equals("a") ? "b" : "a")
          .forEach(machine -> hold(inside, machine, lastsMicros));
    }

    private void leaderWithoutZone(long lastsMicros) {
      cluster.controllers.values().stream()
          .filter(SimulatedController::leads)
          .forEach(
              leader ->
                  machinesIn("a")
                      .forEach(machine -> hold(leader.platform.label(), machine, lastsMicros)));
    }

    /** Repeatedly cuts the leader from zone a for 1 to 10 s and reconnects it for 0.2 to 2.7 s. */
    private void flapping(long lastsMicros) {
      long at = 0;
      while (at < lastsMicros) {
        long cutMicros = 1_000_000 + cluster.random.nextLong(9_000_000);
        cluster.at(at, () -> leaderWithoutZone(cutMicros));
        at += cutMicros + 200_000 + cluster.random.nextLong(2_500_000);
      }
    }

    private void hang(long lastsMicros) {
      cluster.cloud.machines.values().stream()
          .filter(vm -> vm.worker != null && cluster.random.nextInt(4) == 0)
          .forEach(
              vm -> {
                vm.worker.hung = true;
                cluster.at(lastsMicros / 2, () -> vm.worker.hung = false);
              });
    }

    private void refuseLeader(long lastsMicros) {
      cluster.controllers.values().stream()
          .filter(SimulatedController::leads)
          .forEach(
              leader -> {
                cluster.store.refused.add(leader.platform.label());
                cluster.at(
                    lastsMicros, () -> cluster.store.refused.remove(leader.platform.label()));
              });
    }

    long counted(String counter) {
      return cluster.controllers.values().stream()
          .filter(controller -> controller.controller() != null)
          .mapToLong(controller -> controller.controller().metrics().counter(counter))
          .sum();
    }
  }

  private static LongStream seeds() {
    long first = Long.getLong("plumlever.soak.first", FIRST_SEED);
    return LongStream.range(first, first + Integer.getInteger("plumlever.soak.seeds", SEEDS));
  }

  @Test
  void nothingRunsTooLongAfterItsCancellation() {
    Map<Long, List<String>> brokenBySeed = new TreeMap<>();
    long renewed = 0;
    long voided = 0;
    long cancelled = 0;
    long startsAfterCancel = 0;
    for (long seed : seeds().toArray()) {
      Day day = new Day(seed);
      day.play();
      if (!day.cluster.invariants.broken.isEmpty()) {
        brokenBySeed.put(seed, day.cluster.invariants.broken.subList(0, 1));
      }
      renewed += day.counted("leases_renewed_for_leader");
      voided += day.cluster.network.delegations.voided;
      cancelled += day.cluster.invariants.cancelledAt.size();
      startsAfterCancel += day.cluster.invariants.startsAfterCancel;
    }
    System.out.printf(
        "soak: %d delegated renewals, %d starts invalidated by them, %d jobs cancelled, %d tasks"
            + " started after cancellation but within the limit; violations: %s%n",
        renewed, voided, cancelled, startsAfterCancel, brokenBySeed);
    assertEquals(Map.of(), brokenBySeed);
    assertTrue(
        renewed > 0 && voided > 0 && cancelled > 0,
        "expected renewals, invalidated starts and cancellations in some seed");
  }
}
