package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;

/**
 * Runs the whole service in a simulated deployment with random faults drawn from a seed, and checks
 * the protocol's rules after each event.
 */
final class SimulationTest {
  private static final List<PlatformConfiguration.Team> TEAMS =
      List.of(
          new PlatformConfiguration.Team("red", 16, 48, 0, 0),
          new PlatformConfiguration.Team("blue", 16, 0, 0, 0));

  private static SimulatedCluster cluster(long seed) {
    return new SimulatedCluster(seed, 3, TEAMS, seed % 2 == 0);
  }

  static void submitOverTime(SimulatedCluster cluster, FakeUsers users, int jobs, double everyS) {
    for (int i = 0; i < jobs; i++) {
      cluster.at(
          (long) (i * everyS * 1e6),
          () ->
              users.submit(
                  1 + cluster.random.nextInt(12),
                  1 + cluster.random.nextInt(3),
                  3 + cluster.random.nextInt(30),
                  cluster.random.nextInt(5) == 0));
    }
  }

  static void assertAllServed(SimulatedCluster cluster, FakeUsers users, int jobs) {
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals(jobs, users.accepted().size(), "number of accepted jobs");
    List<String> open = new ArrayList<>();
    for (String uid : users.accepted()) {
      String status = cluster.invariants.lastReportedStatus.get(uid);
      if (!status.equals("done") && !status.equals("aborted")) {
        open.add(uid + " " + status);
      }
    }
    assertEquals(List.of(), open, "jobs neither done nor cancelled at the end");
    assertTrue(cluster.invariants.starts > jobs, "more tasks were started than jobs submitted");
  }

  @Test
  void runWithoutFaults() {
    SimulatedCluster cluster = cluster(1);
    FakeUsers users = new FakeUsers(cluster);
    submitOverTime(cluster, users, 20, 3);
    cluster.runFor(400);
    assertAllServed(cluster, users, 20);
  }

  /**
   * Returns the seeds to run: by default twelve seeds and one seed that once showed a fault. {@code
   * -Dplumlever.first=F -Dplumlever.seeds=N} selects N seeds from seed F.
   */
  static LongStream seeds() {
    long first = Long.getLong("plumlever.first", 2);
    LongStream range = LongStream.range(first, first + Integer.getInteger("plumlever.seeds", 12));
    // Seed 395 guards against a fixed fault: a heartbeat delayed beyond the worker's lease restored
    // a lost task, so that a job restricted to one zone ran in two zones.
    return first == 2 ? LongStream.concat(range, LongStream.of(395)) : range;
  }

  /**
   * Injects crashes of one or all controllers, network partitions, outages, refused requests, hung
   * and deleted machines, and late and repeated requests.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void runWithRandomFaults(long seed) {
    SimulatedCluster cluster = cluster(seed);
    FakeUsers users = new FakeUsers(cluster);
    submitOverTime(cluster, users, 40, 5);
    cluster.network.lostResponseShare = 0.01;
    cluster.network.executedLateShare = 0.005;
    cluster.network.repeatedShare = 0.02;
    cluster.network.duplicatedHeartbeatShare = 0.02;
    for (int i = 0; i < 16; i++) {
      cluster.at(
          20_000_000L + cluster.random.nextLong(240_000_000L), () -> injectRandomFault(cluster));
    }
    cluster.runFor(300);
    endFaults(cluster);
    cluster.runFor(400);
    assertAllServed(cluster, users, 40);
  }

  static void injectRandomFault(SimulatedCluster cluster) {
    List<SimulatedController> all = new ArrayList<>(cluster.controllers.values());
    SimulatedController one = all.get(cluster.random.nextInt(all.size()));
    List<SimulatedController> leaders = all.stream().filter(SimulatedController::leads).toList();
    SimulatedController leader =
        leaders.isEmpty()
            ? one
            : leaders.get(leaders.size() == 1 ? 0 : cluster.random.nextInt(leaders.size()));
    long time = 5_000_000L + cluster.random.nextLong(40_000_000L);
    switch (cluster.random.nextInt(16)) {
      case 0 -> leader.crash(0.2 + cluster.random.nextInt(8));
      case 1 -> all.forEach(m -> m.crash(0.3 + cluster.random.nextDouble() * 6));
      case 2 -> {
        cluster.store.outage = true;
        cluster.at(time / 2, cluster.store::endOutage);
      }
      case 3 -> {
        cluster.store.refusedControllers.add(leader.platform.label());
        cluster.at(time, () -> cluster.store.refusedControllers.remove(leader.platform.label()));
      }
      case 4 ->
          blockLinks(cluster, leader.platform.label() + ">*", "*>" + leader.platform.label(), time);
      case 5 ->
          blockLinks(
              cluster,
              leader.platform.label() + ">state",
              "state>" + leader.platform.label(),
              time);
      case 6 -> {
        cluster.cloud.outage = true;
        cluster.at(time, () -> cluster.cloud.outage = false);
      }
      case 7 -> hangThreeMachines(cluster, time);
      case 8 ->
          new ArrayList<>(cluster.cloud.machines.keySet())
              .stream().filter(h -> cluster.random.nextInt(3) == 0).forEach(cluster.cloud::delete);
      case 9 -> preemptAllSpotMachines(cluster);
      case 10 ->
          cluster.cloud.machines.values().stream()
              .filter(v -> v.worker != null)
              .limit(2)
              .forEach(v -> makeUnreachable(cluster, v.id, 2 * time));
      case 11 -> blockLinksToStateAndPeers(cluster, leader, time);
      case 12 -> blockLinksToStateAndPeers(cluster, one, time);
      case 14 -> blockLinksToAllMachines(cluster, leader.platform.label(), time);
      case 13 -> {
        // Restarts the leader within 0.2 s, then restarts a random controller during the election.
        leader.crash(0.1 + cluster.random.nextDouble() / 10);
        cluster.at(
            500_000 + cluster.random.nextLong(3_000_000),
            () -> all.get(cluster.random.nextInt(all.size())).crash(0.15));
      }
      default -> blockLinksToZoneA(cluster, leader.platform.label(), time);
    }
  }

  private static void hangThreeMachines(SimulatedCluster cluster, long time) {
    cluster.cloud.machines.values().stream()
        .filter(v -> v.worker != null)
        .limit(3)
        .forEach(
            v -> {
              v.worker.hung = true;
              cluster.at(time, () -> v.worker.hung = false);
            });
  }

  private static void preemptAllSpotMachines(SimulatedCluster cluster) {
    cluster.cloud.machines.values().stream()
        .filter(v -> v.worker != null && v.spot)
        .forEach(
            v -> {
              v.worker.announcePreemption(8);
              cluster.at(8_000_000, () -> cluster.cloud.delete(v.id));
            });
  }

  private static void blockLinksToAllMachines(SimulatedCluster cluster, String leader, long time) {
    cluster
        .cloud
        .machines
        .keySet()
        .forEach(h -> blockLinks(cluster, h + ">" + leader, leader + ">" + h, time));
  }

  private static void blockLinksToZoneA(SimulatedCluster cluster, String leader, long time) {
    cluster.cloud.machines.values().stream()
        .filter(v -> v.zone.equals("a"))
        .forEach(v -> blockLinks(cluster, v.id + ">" + leader, leader + ">" + v.id, time));
  }

  /**
   * Drops responses to the machine and holds back commands to the machine for the given time; the
   * machine's heartbeats still arrive. The network delivers the held commands afterwards.
   */
  private static void makeUnreachable(SimulatedCluster cluster, String machineId, long time) {
    cluster.network.blockedLinks.put("*>" + machineId, true);
    cluster.at(time, () -> cluster.network.blockedLinks.remove("*>" + machineId));
  }

  private static void blockLinksToStateAndPeers(
      SimulatedCluster cluster, SimulatedController controller, long time) {
    String label = controller.platform.label();
    blockLinks(cluster, label + ">state", "state>" + label, time);
    cluster.controllers.keySet().stream()
        .filter(o -> !o.equals(label))
        .forEach(o -> blockLinks(cluster, label + ">" + o, o + ">" + label, time));
  }

  private static void blockLinks(SimulatedCluster cluster, String there, String back, long time) {
    cluster.network.blockedLinks.put(there, true);
    cluster.network.blockedLinks.put(back, true);
    cluster.at(
        time,
        () -> {
          cluster.network.blockedLinks.remove(there);
          cluster.network.blockedLinks.remove(back);
        });
  }

  static void endFaults(SimulatedCluster cluster) {
    cluster.network.lostResponseShare = 0;
    cluster.network.executedLateShare = 0;
    cluster.network.repeatedShare = 0;
    cluster.network.duplicatedHeartbeatShare = 0;
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.network.blockedLinks.clear();
    cluster.store.refusedControllers.clear();
    cluster.cloud.outage = false;
    cluster.store.endOutage();
    cluster
        .cloud
        .machines
        .values()
        .forEach(
            v -> {
              if (v.worker != null) {
                v.worker.hung = false;
              }
            });
  }

  /**
   * Crashes the leader while a machine that holds tasks is cut off for 15 s and other machines have
   * free capacity.
   */
  private static SimulatedCluster failoverWithAnUnreachableMachine(
      Consumer<SimulatedCluster> beforeTheCrash) {
    SimulatedCluster cluster = cluster(21);
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 8; i++) {
      users.submit(10, 1, 5, false);
    }
    cluster.at(40_000_000, () -> users.submit(6, 1, 120, false));
    cluster.at(40_000_000, () -> users.submit(6, 1, 120, false));
    cluster.runFor(70);
    beforeTheCrash.accept(cluster);
    cluster.cloud.machines.values().stream()
        .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
        .limit(1)
        .forEach(v -> blockLinks(cluster, v.id + ">*", "*>" + v.id, 15_000_000));
    cluster.controllers.values().stream()
        .filter(SimulatedController::leads)
        .findFirst()
        .orElseThrow()
        .crash(5);
    cluster.runFor(60);
    return cluster;
  }

  /**
   * Verifies that the invariant checks report tasks started twice. In this test, a new leader reads
   * an empty record of started jobs and therefore starts some tasks again.
   */
  @Test
  void withoutTheRecordOfStartedJobsTasksRunTwice() {
    SimulatedCluster cluster =
        failoverWithAnUnreachableMachine(
            v ->
                v.store.overwriteSilently(
                    "begun/", Json.object().set("jobs", Json.object().arrayNode())));
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("ran_twice")),
        "the checks must report tasks that run twice without the record of started jobs");
  }

  /**
   * Verifies that the invariant checks report tasks started twice. In this test, a new leader
   * cannot read which machines may hold tasks and therefore starts some tasks again.
   */
  @Test
  void withoutTheRecordOfMachinesTasksRunTwice() {
    SimulatedCluster cluster =
        failoverWithAnUnreachableMachine(v -> v.store.hiddenPrefix = "fleet/");
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("ran_twice")),
        "the checks must report tasks that run twice without the record of machines");
  }

  @Test
  void withTheRecordOfMachinesNoTaskRunsTwice() {
    SimulatedCluster cluster = failoverWithAnUnreachableMachine(v -> {});
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /**
   * Machines behind a partition that is shorter than a lease continue to run their tasks. The
   * leader must not return the machines because of missing heartbeats.
   */
  @Test
  void aShortPartitionOfAZoneLosesNoMachine() {
    SimulatedCluster cluster = cluster(41);
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 8; i++) {
      users.submit(8, 1, 100, false);
    }
    cluster.runFor(60);
    SimulatedController leader =
        cluster.controllers.values().stream()
            .filter(SimulatedController::leads)
            .findFirst()
            .orElseThrow();
    List<String> zoneMachines =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("a") && v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .toList();
    assertTrue(zoneMachines.size() >= 3, "the zone has machines");
    zoneMachines.forEach(
        h ->
            blockLinks(
                cluster,
                h + ">" + leader.platform.label(),
                leader.platform.label() + ">" + h,
                16_000_000));
    cluster.runFor(30);
    assertTrue(
        cluster.cloud.machines.keySet().containsAll(zoneMachines), "no machine was returned");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /**
   * The cloud deletes a machine right before the leader crashes. The missing machine must not delay
   * the failover of all jobs that the new leader inherits.
   */
  @Test
  void aDeletedMachineDelaysAFailoverOnlyBriefly() {
    SimulatedCluster cluster = cluster(43);
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 8; i++) {
      users.submit(8, 1, 100, false);
    }
    cluster.runFor(60);
    String gone =
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .findFirst()
            .orElseThrow();
    cluster.cloud.delete(gone);
    cluster.controllers.values().stream()
        .filter(SimulatedController::leads)
        .findFirst()
        .orElseThrow()
        .crash(30);
    cluster.runFor(8);
    SimulatedController next =
        cluster.controllers.values().stream()
            .filter(SimulatedController::leads)
            .findFirst()
            .orElseThrow();
    assertTrue(next.actingLeader().failoverComplete(), "the failover is complete");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /**
   * While a zone is cut off, a new leader needs as long as a lease to learn which tasks still run.
   * Jobs that no earlier leader started must not wait for this, and the new leader rents machines
   * for them.
   */
  @Test
  void newJobsDoNotWaitForAFailoverDelayedByACutOffZone() {
    SimulatedCluster cluster = cluster(51);
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 8; i++) {
      users.submit(10, 1, 5, false);
    }
    cluster.at(40_000_000, () -> users.submit(6, 1, 200, false));
    cluster.runFor(60);
    for (String machineId :
        cluster.cloud.machines.values().stream()
            .filter(v -> v.zone.equals("a"))
            .map(v -> v.id)
            .toList()) {
      blockLinks(cluster, machineId + ">*", "*>" + machineId, 60_000_000);
    }
    cluster.leader().crash(60);
    cluster.runFor(2);
    JobSpec late =
        TestJob.job(users.nextUid()).jobClass("c1").tasks(6).memoryGb(2).runS(60).build();
    users.submit(late, false);
    cluster.runFor(16);
    assertFalse(
        cluster.leader().actingLeader().failoverComplete(),
        "the failover must still wait for the cut-off zone");
    assertTrue(
        cluster.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .flatMap(v -> v.worker.tasks.values().stream())
            .anyMatch(t -> t.isRunningOrFlushing() && t.name.startsWith(late.uid())),
        "the new job runs before the failover is complete");
    cluster.runFor(300);
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals("done", cluster.invariants.lastReportedStatus.get(late.uid()));
  }

  /** Two of three controllers are killed and not restarted; the third must serve all jobs. */
  @Test
  void oneControllerSuffices() {
    SimulatedCluster cluster = cluster(31);
    FakeUsers users = new FakeUsers(cluster);
    submitOverTime(cluster, users, 15, 4);
    cluster.runFor(20);
    cluster.controllers.values().stream().skip(1).forEach(SimulatedController::kill);
    cluster.runFor(400);
    assertAllServed(cluster, users, 15);
  }
}
