package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.Endpoint;
import plumlever.settings.Platform;

/**
 * The deployment on processors so small that everything takes its time, and far longer in a process
 * that has just started.
 */
final class LittleProcessorTest {
  private static final List<Platform.Team> TEAMS =
      List.of(new Platform.Team("red", 0, 0, 0, 0), new Platform.Team("blue", 0, 0, 0, 0));
  private static final int MACHINES = 600;
  private static final double SLOW = 3;

  private static World world(long seed, boolean officeApart) {
    World w = new World(seed, 3, TEAMS, false);
    w.costs = Processor.Costs.little();
    w.cloud.most = MACHINES;
    for (World.Member m : w.members.values()) {
      m.officeApart = officeApart;
      m.kill();
      m.start();
    }
    return w;
  }

  private static FakeUsers busy(World w, int jobs, double everyS) {
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < jobs; i++) {
      w.at((long) (i * everyS * 1e6), () -> users.submit(90, 2, 10 + w.random.nextInt(30), false));
    }
    return users;
  }

  private static void assertAllDone(World w, FakeUsers users, int jobs) {
    w.rules.checkServed();
    assertEquals(List.of(), w.rules.broken);
    assertEquals(jobs, users.accepted().size(), "every job is accepted in the end");
    assertEquals(
        List.of(),
        users.accepted().stream().filter(u -> !w.rules.lastTold.get(u).equals("done")).toList());
  }

  /**
   * All controllers end together, with all workers waiting for the first that is back: how much of
   * the time after that somebody leads, in parts of a hundred.
   */
  private static int ledAfterACrashOfAll(World w) {
    w.play(100);
    assertTrue(w.cloud.machines.size() > MACHINES / 3, "machines: " + w.cloud.machines.size());
    w.members.values().forEach(m -> m.crash(6));
    w.play(10);
    int led = 0;
    for (int i = 0; i < 200; i++) {
      w.play(0.1);
      led += w.members.values().stream().anyMatch(m -> m.node().mayAct()) ? 1 : 0;
    }
    return led / 2;
  }

  /**
   * Several hundred workers come to each process that has just started, and everything takes many
   * times as long there: neither the election nor the renewals may wait behind them. Without a
   * thread of its own the office does.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aCrowdAtAColdProcessCostsNobodyTheOffice(long seed) {
    World w = world(seed, true);
    FakeUsers users = busy(w, 60, 2);
    int led = ledAfterACrashOfAll(w);
    assertTrue(led >= 90, "led " + led + "% of the time");
    w.calmSince = w.now();
    w.play(400);
    assertAllDone(w, users, 60);
  }

  @Test
  void withoutAThreadOfItsOwnTheOfficeWaitsBehindTheCrowd() {
    World w = world(1, false);
    busy(w, 60, 2);
    int led = ledAfterACrashOfAll(w);
    assertTrue(led < 90, "the costs are such that the guard is needed: led " + led + "%");
  }

  private static FakeUsers quiet(World w) {
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < 40; i++) {
      w.at(
          i * 3_000_000L,
          () ->
              users.submit(
                  1 + w.random.nextInt(12), 1, 5 + w.random.nextInt(20), w.random.nextInt(4) == 0));
    }
    return users;
  }

  /**
   * A leader that stood still for seconds finds all its workers silent, and hears that they have
   * been seen elsewhere. It was it that did not listen: it keeps the office, and returns no
   * machine.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void whoStoodStillDoesNotTakeItsWorkersForLost(long seed) {
    World w = world(seed, true);
    busy(w, 60, 2);
    w.play(60);
    World.Member first = w.leader();
    long term = w.store.term();
    first.stall(7);
    // What has come in meanwhile is worked off slowly, the peers' words among the first.
    first.slowDown(SLOW);
    w.play(25);
    assertEquals(term, w.store.term(), "nobody else was elected");
    first.slowDown(1);
    w.calmSince = w.now();
    w.play(400);
    w.rules.checkServed();
    assertEquals(List.of(), w.rules.broken);
  }

  /** Asks each controller whether it can take requests, and waits for what it says. */
  private static List<Integer> up(World w) {
    List<Integer> out = new ArrayList<>();
    for (String node : w.members.keySet()) {
      w.send(
          "balancer",
          new Endpoint(node, 1),
          "GET",
          "/up",
          null,
          6_000_000,
          a -> out.add((Integer) a[0]));
      w.play(6.1);
    }
    return out;
  }

  /**
   * A leader that is seconds late sends its users to those that are on time; where nobody is, all
   * go on taking them.
   */
  @Test
  void whoIsSecondsLateLeavesUsersToOthers() {
    World w = world(2, true);
    busy(w, 60, 2);
    w.play(60);
    int leads = List.copyOf(w.members.values()).indexOf(w.leader());
    assertEquals(List.of(200, 200, 200), up(w));
    w.leader().slowDown(SLOW);
    w.play(8);
    List<Integer> seen = up(w);
    assertEquals(503, seen.get(leads), "the late one: " + seen);
    assertEquals(2, seen.stream().filter(s -> s == 200).count(), "the others: " + seen);
    w.members.values().forEach(m -> m.slowDown(1));
    w.play(12);
    assertEquals(List.of(200, 200, 200), up(w), "and back");
  }

  @Test
  void aLateControllerThatIsAloneGoesOnTakingUsers() {
    World w = world(2, true);
    busy(w, 60, 2);
    w.play(60);
    World.Member leader = w.leader();
    w.members.values().stream().filter(m -> m != leader).forEach(World.Member::kill);
    leader.slowDown(3);
    w.play(8);
    boolean[] took = new boolean[1];
    w.send(
        "balancer",
        leader.platform.bind(),
        "GET",
        "/up",
        null,
        30_000_000,
        a -> took[0] = (Integer) a[0] == 200);
    w.play(31);
    assertTrue(took[0]);
  }

  /**
   * Decisions that stand still for much longer cost the office, and never act in a later term of
   * the same node.
   */
  @Test
  void anOfficeWhoseDecisionsStandStillIsGivenUp() {
    World w = new World(5, 3, TEAMS, false);
    quiet(w);
    w.play(40);
    World.Member first = w.leader();
    long term = w.store.term();
    first.stall(40);
    w.play(20);
    assertTrue(w.store.term() > term, "another leads");
    // The others end, so that it may be elected once more before its decisions go on.
    w.members.values().stream().filter(m -> m != first).forEach(m -> m.crash(60));
    w.play(240);
    w.rules.checkServed();
    assertEquals(List.of(), w.rules.broken);
  }
}
