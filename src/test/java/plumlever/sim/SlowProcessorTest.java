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
 * Controllers on a small share of a processor: every event takes processing time, and many times
 * more in a process that has just started.
 */
final class SlowProcessorTest {
  private static final List<PlatformConfiguration.Team> TEAMS =
      List.of(
          new PlatformConfiguration.Team("red", 0, 0, 0, 0),
          new PlatformConfiguration.Team("blue", 0, 0, 0, 0));
  private static final int MACHINES = 600;
  private static final double SLOWDOWN = 3;

  private static SimulatedCluster cluster(long seed, boolean separateElectionThread) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, TEAMS, false);
    cluster.costs = Processor.Costs.smallShare();
    cluster.cloud.capacity = MACHINES;
    for (SimulatedController controller : cluster.controllers.values()) {
      controller.separateElectionThread = separateElectionThread;
      controller.kill();
      controller.start();
    }
    return cluster;
  }

  private static FakeUsers submitLargeJobs(SimulatedCluster cluster, int jobs, double intervalS) {
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < jobs; i++) {
      cluster.at(
          (long) (i * intervalS * 1e6),
          () -> users.submit(90, 2, 10 + cluster.random.nextInt(30), false));
    }
    return users;
  }

  private static void assertAllDone(SimulatedCluster cluster, FakeUsers users, int jobs) {
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
    assertEquals(jobs, users.accepted().size(), "accepted jobs");
    assertEquals(
        List.of(),
        users.accepted().stream()
            .filter(u -> !cluster.invariants.lastReportedStatus.get(u).equals("done"))
            .toList());
  }

  /**
   * Crashes all controllers together, so that all workers reconnect to the first controller that
   * restarts. Returns the percentage of a period of 20 s, from 10 s after the crash, in which some
   * controller may act as the leader.
   */
  private static int leadershipPercentAfterCrashOfAll(SimulatedCluster cluster) {
    cluster.runFor(100);
    assertTrue(
        cluster.cloud.machines.size() > MACHINES / 3, "machines: " + cluster.cloud.machines.size());
    cluster.controllers.values().forEach(m -> m.crash(6));
    cluster.runFor(10);
    int samplesWithLeader = 0;
    for (int i = 0; i < 200; i++) {
      cluster.runFor(0.1);
      samplesWithLeader +=
          cluster.controllers.values().stream().anyMatch(m -> m.controller().mayAct()) ? 1 : 0;
    }
    return samplesWithLeader / 2;
  }

  /**
   * Several hundred workers connect to a process that has just started and processes every event
   * many times more slowly. Neither the election nor the renewals of the leader lease may queue
   * behind the heartbeats, so the election runs on a separate thread.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void reconnectingWorkersDoNotCostLeadership(long seed) {
    SimulatedCluster cluster = cluster(seed, true);
    FakeUsers users = submitLargeJobs(cluster, 60, 2);
    int leaderPercent = leadershipPercentAfterCrashOfAll(cluster);
    assertTrue(leaderPercent >= 90, "percentage of time with a leader: " + leaderPercent + "%");
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(400);
    assertAllDone(cluster, users, 60);
  }

  @Test
  void withoutSeparateThreadElectionWaitsBehindHeartbeats() {
    SimulatedCluster cluster = cluster(1, false);
    submitLargeJobs(cluster, 60, 2);
    int leaderPercent = leadershipPercentAfterCrashOfAll(cluster);
    assertTrue(
        leaderPercent < 90,
        "percentage of time with a leader, without a separate election thread: "
            + leaderPercent
            + "%");
  }

  private static FakeUsers submitSmallJobs(SimulatedCluster cluster) {
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
   * After a stall of several seconds the leader has no recent heartbeat of any worker, and its
   * peers announce that the workers are connected to them. The cause is the leader's own stall, so
   * the leader must keep leadership and must not return any machine.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void stalledLeaderDoesNotTreatWorkersAsLost(long seed) {
    SimulatedCluster cluster = cluster(seed, true);
    submitLargeJobs(cluster, 60, 2);
    cluster.runFor(60);
    SimulatedController first = cluster.leader();
    long term = cluster.store.term();
    first.stallDecisions(7);
    // The leader processes the queued events slowly; peer messages are among the first events.
    first.slowDown(SLOWDOWN);
    cluster.runFor(25);
    assertEquals(term, cluster.store.term(), "term after the stall");
    first.slowDown(1);
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(400);
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /** Queries the health endpoint of each controller and returns the status codes. */
  private static List<Integer> healthStatuses(SimulatedCluster cluster) {
    List<Integer> statuses = new ArrayList<>();
    for (String controller : cluster.controllers.keySet()) {
      cluster.network.send(
          "balancer",
          new Endpoint(controller, 1),
          "GET",
          "/up",
          null,
          6_000_000,
          a -> statuses.add(a.status()));
      cluster.runFor(6.1);
    }
    return statuses;
  }

  /**
   * A leader that processes events seconds late must report itself unhealthy, so that the load
   * balancer sends users to the other controllers. If all controllers are late, all of them must
   * keep accepting users.
   */
  @Test
  void lateControllerReportsUnhealthy() {
    SimulatedCluster cluster = cluster(2, true);
    submitLargeJobs(cluster, 60, 2);
    cluster.runFor(60);
    int leaderIndex = List.copyOf(cluster.controllers.values()).indexOf(cluster.leader());
    assertEquals(List.of(200, 200, 200), healthStatuses(cluster));
    cluster.leader().slowDown(SLOWDOWN);
    cluster.runFor(8);
    List<Integer> statuses = healthStatuses(cluster);
    assertEquals(
        503, statuses.get(leaderIndex), "status of the late controller, of all: " + statuses);
    assertEquals(
        2,
        statuses.stream().filter(s -> s == 200).count(),
        "healthy controllers, of all: " + statuses);
    cluster.controllers.values().forEach(m -> m.slowDown(1));
    cluster.runFor(12);
    assertEquals(
        List.of(200, 200, 200), healthStatuses(cluster), "status codes after the recovery");
  }

  @Test
  void lateControllerWithoutPeersStaysHealthy() {
    SimulatedCluster cluster = cluster(2, true);
    submitLargeJobs(cluster, 60, 2);
    cluster.runFor(60);
    SimulatedController leader = cluster.leader();
    cluster.controllers.values().stream()
        .filter(m -> m != leader)
        .forEach(SimulatedController::kill);
    leader.slowDown(3);
    cluster.runFor(8);
    boolean[] accepted = new boolean[1];
    cluster.network.send(
        "balancer",
        leader.platform.bind(),
        "GET",
        "/up",
        null,
        30_000_000,
        a -> accepted[0] = a.status() == 200);
    cluster.runFor(31);
    assertTrue(accepted[0]);
  }

  /**
   * The leader's decision thread stalls for so long that the leader loses leadership. Decisions of
   * the former term must not take effect in a later term of the same controller.
   */
  @Test
  void leaderWithStalledDecisionsStepsDown() {
    SimulatedCluster cluster = new SimulatedCluster(5, 3, TEAMS, false);
    submitSmallJobs(cluster);
    cluster.runFor(40);
    SimulatedController first = cluster.leader();
    long term = cluster.store.term();
    first.stallDecisions(40);
    cluster.runFor(20);
    assertTrue(cluster.store.term() > term, "no other leader was elected");
    // The other controllers crash, so that the first may be re-elected while its decisions stall.
    cluster.controllers.values().stream().filter(m -> m != first).forEach(m -> m.crash(60));
    cluster.runFor(240);
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
  }
}
