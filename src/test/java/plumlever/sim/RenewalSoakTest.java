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
 * soon after they are accepted. In a second group of simulations, machines also restart while their
 * heartbeats are lost and direct commands reach them.
 *
 * <p>{@code -Dplumlever.soak.first=F -Dplumlever.soak.seeds=N} runs N seeds from seed F.
 */
final class RenewalSoakTest {
  private static final long FIRST_SEED = 7_100;
  private static final long FIRST_SEED_WITH_RESTARTS = 8_500;
  private static final int SEEDS = 16;
  private static final double FAULT_PHASE_S = 420;
  private static final double RECOVERY_PHASE_S = 130;
  private static final int CANCELLED_JOBS_PER_TEN = 7;

  /** The simulation of one seed. */
  private static final class Simulation {
    private final SimulatedCluster cluster;
    private final FakeUsers users;
    private final boolean machineRestarts;
    private boolean faultsEnabled = true;

    /**
     * @param machineRestarts whether machines also restart while their heartbeats are lost
     */
    Simulation(long seed, boolean machineRestarts) {
      this.machineRestarts = machineRestarts;
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

    void run() {
      cluster.at(0, this::submitNext);
      cluster.runFor(40);
      cluster.network.heldCommandShare = 0.02;
      cluster.network.heldCommandMicros = InvariantChecker.CANCEL_MICROS * 3 / 2;
      cluster.network.duplicatedHeartbeatShare = 0.01;
      cluster.at(0, this::injectNextFault);
      if (machineRestarts) {
        cluster.at(0, this::restartNextMachines);
      }
      cluster.runFor(FAULT_PHASE_S);
      faultsEnabled = false;
      cluster.network.blockedLinks.clear();
      cluster.network.machinesWithLostHeartbeats.clear();
      cluster.cloud.outage = false;
      cluster.network.heldCommandShare = 0;
      cluster.store.refusedControllers.clear();
      cluster.store.endOutage();
      cluster.cloud.machines.values().stream()
          .filter(vm -> vm.worker != null)
          .forEach(vm -> vm.worker.hung = false);
      cluster.faultsEndedAtMicros = cluster.now();
      cluster.runFor(RECOVERY_PHASE_S);
    }

    private void submitNext() {
      if (!faultsEnabled) {
        return;
      }
      JobSpec job = job();
      users.submit(job, false);
      if (cluster.random.nextInt(10) < CANCELLED_JOBS_PER_TEN) {
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

    private void injectNextFault() {
      if (!faultsEnabled) {
        return;
      }
      long durationMicros = 2_000_000L + cluster.random.nextLong(68_000_000L);
      switch (cluster.random.nextInt(8)) {
        case 0, 1, 2 -> partitionZone(durationMicros);
        case 3 -> partitionLeaderFromZoneA(durationMicros);
        case 4 -> flapLeaderLink(durationMicros);
        case 5 -> hangWorkers(durationMicros);
        case 6 -> refuseLeaderAtStore(durationMicros / 4);
        default -> anyController().crash(0.2 + cluster.random.nextInt(7));
      }
      if (cluster.random.nextInt(4) == 0) {
        cluster.at(cluster.random.nextLong(durationMicros), () -> anyController().crash(0.2));
      }
      cluster.at(durationMicros / 2 + cluster.random.nextLong(30_000_000L), this::injectNextFault);
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

    /**
     * Blocks the network between a controller and another controller or a machine for the given
     * duration.
     */
    private void blockTemporarily(String controller, String other, long durationMicros) {
      cluster.network.setBlocked(controller, other, true);
      cluster.at(durationMicros, () -> cluster.network.setBlocked(controller, other, false));
    }

    /**
     * Partitions the network: one controller and the machines of one zone on one side, all other
     * controllers and machines on the other.
     */
    private void partitionZone(long durationMicros) {
      String isolatedController = anyController().platform.label();
      String zone = cluster.random.nextBoolean() ? "a" : "b";
      for (String other : cluster.controllers.keySet()) {
        if (!other.equals(isolatedController)) {
          blockTemporarily(isolatedController, other, durationMicros);
          machinesIn(zone).forEach(machine -> blockTemporarily(other, machine, durationMicros));
        }
      }
      machinesIn(zone.equals("a") ? "b" : "a")
          .forEach(machine -> blockTemporarily(isolatedController, machine, durationMicros));
    }

    private void partitionLeaderFromZoneA(long durationMicros) {
      cluster.controllers.values().stream()
          .filter(SimulatedController::leads)
          .forEach(
              leader ->
                  machinesIn("a")
                      .forEach(
                          machine ->
                              blockTemporarily(leader.platform.label(), machine, durationMicros)));
    }

    /**
     * Repeatedly blocks the leader's links to zone a for 1-10 s and restores them for 0.2-2.7 s.
     */
    private void flapLeaderLink(long durationMicros) {
      long at = 0;
      while (at < durationMicros) {
        long partitionMicros = 1_000_000 + cluster.random.nextLong(9_000_000);
        cluster.at(at, () -> partitionLeaderFromZoneA(partitionMicros));
        at += partitionMicros + 200_000 + cluster.random.nextLong(2_500_000);
      }
    }

    private void hangWorkers(long durationMicros) {
      cluster.cloud.machines.values().stream()
          .filter(vm -> vm.worker != null && cluster.random.nextInt(4) == 0)
          .forEach(
              vm -> {
                vm.worker.hung = true;
                cluster.at(durationMicros / 2, () -> vm.worker.hung = false);
              });
    }

    /**
     * Loses the heartbeats of some machines, which direct commands still reach, and restarts these
     * machines while the leader still starts tasks on them. Meanwhile the cloud returns no machine.
     */
    private void restartNextMachines() {
      if (!faultsEnabled) {
        return;
      }
      long durationMicros = FakeWorker.LEASE_MICROS + cluster.random.nextLong(30_000_000L);
      cluster.cloud.outage = true;
      cluster.at(durationMicros, () -> cluster.cloud.outage = false);
      cluster.cloud.machines.values().stream()
          .filter(vm -> vm.worker != null && cluster.random.nextInt(3) == 0)
          .forEach(vm -> restartWithoutHeartbeats(vm, durationMicros));
      cluster.at(durationMicros + cluster.random.nextLong(20_000_000L), this::restartNextMachines);
    }

    private void restartWithoutHeartbeats(FakeCloud.Vm vm, long durationMicros) {
      cluster.network.machinesWithLostHeartbeats.add(vm.id);
      cluster.at(durationMicros, () -> cluster.network.machinesWithLostHeartbeats.remove(vm.id));
      int restarts = 1 + cluster.random.nextInt(2);
      for (int i = 0; i < restarts; i++) {
        cluster.at(
            500_000L + cluster.random.nextLong(6_000_000L),
            () -> vm.worker.restart(50_000L + cluster.random.nextLong(500_000L)));
      }
    }

    private void refuseLeaderAtStore(long durationMicros) {
      cluster.controllers.values().stream()
          .filter(SimulatedController::leads)
          .forEach(
              leader -> {
                cluster.store.refusedControllers.add(leader.platform.label());
                cluster.at(
                    durationMicros,
                    () -> cluster.store.refusedControllers.remove(leader.platform.label()));
              });
    }

    long sumOfCounter(String counter) {
      return cluster.controllers.values().stream()
          .filter(controller -> controller.controller() != null)
          .mapToLong(controller -> controller.controller().metrics().counter(counter))
          .sum();
    }
  }

  private static LongStream seeds(long defaultFirst) {
    long first = Long.getLong("plumlever.soak.first", defaultFirst);
    return LongStream.range(first, first + Integer.getInteger("plumlever.soak.seeds", SEEDS));
  }

  /** What the simulations of several seeds have shown. */
  private static final class Findings {
    private final Map<Long, List<String>> violationsBySeed = new TreeMap<>();
    private long renewed;
    private long invalidated;
    private long cancelled;
    private long startsAfterCancel;
    private long incarnations;
    private long expiries;

    void add(long seed, Simulation simulation) {
      if (!simulation.cluster.invariants.violations.isEmpty()) {
        violationsBySeed.put(seed, simulation.cluster.invariants.violations.subList(0, 1));
      }
      renewed += simulation.sumOfCounter("leases_renewed_for_leader");
      invalidated += simulation.cluster.network.delegationChecker.invalidatedStarts;
      cancelled += simulation.cluster.invariants.cancelledAt.size();
      startsAfterCancel += simulation.cluster.invariants.startsAfterCancel;
      incarnations += simulation.sumOfCounter("incarnations_changed");
      expiries += simulation.cluster.leaseExpiryChecker.expiries;
    }

    void print(String name) {
      System.out.printf(
          "%s: %d delegated renewals, %d starts invalidated by them, %d jobs cancelled, %d tasks"
              + " started after cancellation but within the limit, %d incarnations begun, %d"
              + " leases expired; violations: %s%n",
          name,
          renewed,
          invalidated,
          cancelled,
          startsAfterCancel,
          incarnations,
          expiries,
          violationsBySeed);
    }
  }

  private static Findings simulate(long firstSeed, boolean machineRestarts) {
    Findings findings = new Findings();
    for (long seed : seeds(firstSeed).toArray()) {
      Simulation simulation = new Simulation(seed, machineRestarts);
      simulation.run();
      findings.add(seed, simulation);
    }
    return findings;
  }

  @Test
  void noTaskRunsBeyondTheCancellationLimit() {
    Findings findings = simulate(FIRST_SEED, false);
    findings.print("soak");
    assertEquals(Map.of(), findings.violationsBySeed);
    assertTrue(
        findings.renewed > 0 && findings.invalidated > 0 && findings.cancelled > 0,
        "expected renewals, invalidated starts and cancellations in some seed");
  }

  @Test
  void noTaskRunsTwiceWhenMachinesRestartWithoutHeartbeats() {
    Findings findings = simulate(FIRST_SEED_WITH_RESTARTS, true);
    findings.print("soak with restarts");
    assertEquals(Map.of(), findings.violationsBySeed);
    assertTrue(
        findings.incarnations > 0 && findings.expiries > 0 && findings.cancelled > 0,
        "expected restarts, expired leases and cancellations in some seed");
  }
}
