package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;

/**
 * The deployment on processors so small that everything takes its time, and far longer in a process
 * that has just started.
 */
final class LittleProcessorTest {
  private static final List<PlatformConfiguration.Team> TEAMS =
      List.of(
          new PlatformConfiguration.Team("red", 0, 0, 0, 0),
          new PlatformConfiguration.Team("blue", 0, 0, 0, 0));
  private static final int MACHINES = 600;
  private static final double SLOW = 3;

  private static SimulatedCluster cluster(long seed, boolean electionApart) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, TEAMS, false);
    cluster.costs = Processor.Costs.little();
    cluster.cloud.most = MACHINES;
    for (SimulatedController controller : cluster.controllers.values()) {
      controller.electionApart = electionApart;
      controller.kill();
      controller.start();
    }
    return cluster;
  }

  private static FakeUsers busy(SimulatedCluster cluster, int jobs, double everyS) {
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < jobs; i++) {
      cluster.at(
          (long) (i * everyS * 1e6),
          () -> users.submit(90, 2, 10 + cluster.random.nextInt(30), false));
    }
    return users;
  }

  private static void assertAllDone(SimulatedCluster cluster, FakeUsers users, int jobs) {
    cluster.invariants.checkServed();
    assertEquals(List.of(), cluster.invariants.broken);
    assertEquals(jobs, users.accepted().size(), "every job is accepted in the end");
    assertEquals(
        List.of(),
        users.accepted().stream()
            .filter(u -> !cluster.invariants.lastTold.get(u).equals("done"))
            .toList());
  }

  /**
   * All controllers end together, with all workers waiting for the first that is back: how much of
   * the time after that somebody leads, in parts of a hundred.
   */
  private static int ledAfterACrashOfAll(SimulatedCluster cluster) {
    cluster.play(100);
    assertTrue(
        cluster.cloud.machines.size() > MACHINES / 3, "machines: " + cluster.cloud.machines.size());
    cluster.controllers.values().forEach(m -> m.crash(6));
    cluster.play(10);
    int led = 0;
    for (int i = 0; i < 200; i++) {
      cluster.play(0.1);
      led += cluster.controllers.values().stream().anyMatch(m -> m.controller().mayAct()) ? 1 : 0;
    }
    return led / 2;
  }

  /**
   * Several hundred workers come to each process that has just started, and everything takes many
   * times as long there: neither the election nor the renewals may wait behind them. Without a
   * thread of its own leadership does.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aCrowdAtAColdProcessCostsNoControllerItsLeadership(long seed) {
    SimulatedCluster cluster = cluster(seed, true);
    FakeUsers users = busy(cluster, 60, 2);
    int led = ledAfterACrashOfAll(cluster);
    assertTrue(led >= 90, "led " + led + "% of the time");
    cluster.calmSince = cluster.now();
    cluster.play(400);
    assertAllDone(cluster, users, 60);
  }

  @Test
  void withoutAThreadOfItsOwnTheElectionWaitsBehindTheCrowd() {
    SimulatedCluster cluster = cluster(1, false);
    busy(cluster, 60, 2);
    int led = ledAfterACrashOfAll(cluster);
    assertTrue(led < 90, "with these costs the thread of its own is needed: led " + led + "%");
  }

  private static FakeUsers quiet(SimulatedCluster cluster) {
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 40; i++) {
      cluster.at(
          i * 3_000_000L,
          () ->
              users.submit(
                  1 + cluster.random.nextInt(12),
                  1,
                  5 + cluster.random.nextInt(20),
                  cluster.random.nextInt(4) == 0));
    }
    return users;
  }

  /**
   * A leader that stood still for seconds finds all its workers silent, and hears that they have
   * been seen elsewhere. It was it that did not listen: it keeps leadership, and returns no
   * machine.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void whoStoodStillDoesNotTakeItsWorkersForLost(long seed) {
    SimulatedCluster cluster = cluster(seed, true);
    busy(cluster, 60, 2);
    cluster.play(60);
    SimulatedController first = cluster.leader();
    long term = cluster.store.term();
    first.stall(7);
    // What has come in meanwhile is worked off slowly, the peers' words among the first.
    first.slowDown(SLOW);
    cluster.play(25);
    assertEquals(term, cluster.store.term(), "nobody else was elected");
    first.slowDown(1);
    cluster.calmSince = cluster.now();
    cluster.play(400);
    cluster.invariants.checkServed();
    assertEquals(List.of(), cluster.invariants.broken);
  }

  /** Asks each controller whether it can take requests, and waits for what it says. */
  private static List<Integer> up(SimulatedCluster cluster) {
    List<Integer> out = new ArrayList<>();
    for (String controller : cluster.controllers.keySet()) {
      cluster.network.send(
          "balancer",
          new Endpoint(controller, 1),
          "GET",
          "/up",
          null,
          6_000_000,
          a -> out.add(a.status()));
      cluster.play(6.1);
    }
    return out;
  }

  /**
   * A leader that is seconds late sends its users to those that are on time; where nobody is, all
   * go on taking them.
   */
  @Test
  void whoIsSecondsLateLeavesUsersToOthers() {
    SimulatedCluster cluster = cluster(2, true);
    busy(cluster, 60, 2);
    cluster.play(60);
    int leads = List.copyOf(cluster.controllers.values()).indexOf(cluster.leader());
    assertEquals(List.of(200, 200, 200), up(cluster));
    cluster.leader().slowDown(SLOW);
    cluster.play(8);
    List<Integer> seen = up(cluster);
    assertEquals(503, seen.get(leads), "the late one: " + seen);
    assertEquals(2, seen.stream().filter(s -> s == 200).count(), "the others: " + seen);
    cluster.controllers.values().forEach(m -> m.slowDown(1));
    cluster.play(12);
    assertEquals(List.of(200, 200, 200), up(cluster), "and back");
  }

  @Test
  void aLateControllerThatIsAloneGoesOnTakingUsers() {
    SimulatedCluster cluster = cluster(2, true);
    busy(cluster, 60, 2);
    cluster.play(60);
    SimulatedController leader = cluster.leader();
    cluster.controllers.values().stream()
        .filter(m -> m != leader)
        .forEach(SimulatedController::kill);
    leader.slowDown(3);
    cluster.play(8);
    boolean[] took = new boolean[1];
    cluster.network.send(
        "balancer",
        leader.platform.bind(),
        "GET",
        "/up",
        null,
        30_000_000,
        a -> took[0] = a.status() == 200);
    cluster.play(31);
    assertTrue(took[0]);
  }

  /**
   * Decisions that stand still for much longer cost leadership, and never act in a later term of
   * the same controller.
   */
  @Test
  void aLeaderWhoseDecisionsStallStepsDown() {
    SimulatedCluster cluster = new SimulatedCluster(5, 3, TEAMS, false);
    quiet(cluster);
    cluster.play(40);
    SimulatedController first = cluster.leader();
    long term = cluster.store.term();
    first.stall(40);
    cluster.play(20);
    assertTrue(cluster.store.term() > term, "another leads");
    // The others end, so that it may be elected once more before its decisions go on.
    cluster.controllers.values().stream().filter(m -> m != first).forEach(m -> m.crash(60));
    cluster.play(240);
    cluster.invariants.checkServed();
    assertEquals(List.of(), cluster.invariants.broken);
  }
}
