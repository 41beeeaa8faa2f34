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
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Urgency;

/**
 * The whole service in a simulated deployment, with seeded troubles; the rules are checked after
 * each step.
 */
final class SimulationTest {
  private static final List<Platform.Team> TEAMS =
      List.of(new Platform.Team("red", 16, 48, 0, 0), new Platform.Team("blue", 16, 0, 0, 0));

  private static World world(long seed) {
    return new World(seed, 3, TEAMS, seed % 2 == 0);
  }

  private static void submitOverTime(World w, FakeUsers users, int jobs, double everyS) {
    for (int i = 0; i < jobs; i++) {
      w.at(
          (long) (i * everyS * 1e6),
          () ->
              users.submit(
                  1 + w.random.nextInt(12),
                  1 + w.random.nextInt(3),
                  3 + w.random.nextInt(30),
                  w.random.nextInt(5) == 0));
    }
  }

  private static void assertAllServed(World w, FakeUsers users, int jobs) {
    w.rules.checkServed();
    assertEquals(List.of(), w.rules.broken);
    assertEquals(jobs, users.accepted().size(), "every job is accepted in the end");
    List<String> open = new ArrayList<>();
    for (String uid : users.accepted()) {
      String told = w.rules.lastTold.get(uid);
      if (!told.equals("done") && !told.equals("aborted")) {
        open.add(uid + " " + told);
      }
    }
    assertEquals(List.of(), open, "every job comes to its end");
    assertTrue(w.rules.starts > jobs, "tasks were started");
  }

  @Test
  void quietDay() {
    World w = world(1);
    FakeUsers users = new FakeUsers(w);
    submitOverTime(w, users, 20, 3);
    w.play(400);
    assertAllServed(w, users, 20);
  }

  /** A dozen seeds as a rule; {@code -Dplumlever.first=F -Dplumlever.seeds=N} plays others. */
  static LongStream seeds() {
    long first = Long.getLong("plumlever.first", 2);
    LongStream asked = LongStream.range(first, first + Integer.getInteger("plumlever.seeds", 12));
    // 395: a report held back beyond its lease once brought a dead task back, and a one-zone job
    // into two zones.
    return first == 2 ? LongStream.concat(asked, LongStream.of(395)) : asked;
  }

  /**
   * Crashes of one and all, cuts, outages, refusals, hanging and vanishing machines, late and
   * repeated requests.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void troubledDay(long seed) {
    World w = world(seed);
    FakeUsers users = new FakeUsers(w);
    submitOverTime(w, users, 40, 5);
    w.loseAnswer = 0.01;
    w.executeLate = 0.005;
    w.repeat = 0.02;
    w.copyReports = 0.02;
    for (int i = 0; i < 16; i++) {
      w.at(20_000_000L + w.random.nextLong(240_000_000L), () -> trouble(w));
    }
    w.play(300);
    calm(w);
    w.play(400);
    assertAllServed(w, users, 40);
  }

  static void trouble(World w) {
    List<World.Member> all = new ArrayList<>(w.members.values());
    World.Member one = all.get(w.random.nextInt(all.size()));
    World.Member leader = all.stream().filter(World.Member::leads).findFirst().orElse(one);
    long time = 5_000_000L + w.random.nextLong(40_000_000L);
    switch (w.random.nextInt(16)) {
      case 0 -> leader.crash(0.2 + w.random.nextInt(8));
      case 1 -> all.forEach(m -> m.crash(0.3 + w.random.nextDouble() * 6));
      case 2 -> {
        w.store.outage = true;
        w.at(time / 2, w.store::endOutage);
      }
      case 3 -> {
        w.store.refused.add(leader.platform.label());
        w.at(time, () -> w.store.refused.remove(leader.platform.label()));
      }
      case 4 -> hold(w, leader.platform.label() + ">*", "*>" + leader.platform.label(), time);
      case 5 ->
          hold(w, leader.platform.label() + ">state", "state>" + leader.platform.label(), time);
      case 6 -> {
        w.cloud.outage = true;
        w.at(time, () -> w.cloud.outage = false);
      }
      case 7 ->
          w.cloud.machines.values().stream()
              .filter(v -> v.worker != null)
              .limit(3)
              .forEach(
                  v -> {
                    v.worker.hung = true;
                    w.at(time, () -> v.worker.hung = false);
                  });
      case 8 ->
          new ArrayList<>(w.cloud.machines.keySet())
              .stream().filter(h -> w.random.nextInt(3) == 0).forEach(w.cloud::delete);
      case 9 ->
          w.cloud.machines.values().stream()
              .filter(v -> v.worker != null && v.spot)
              .forEach(
                  v -> {
                    v.worker.notice(8);
                    w.at(8_000_000, () -> w.cloud.delete(v.id));
                  });
      case 10 ->
          w.cloud.machines.values().stream()
              .filter(v -> v.worker != null)
              .limit(2)
              .forEach(v -> deafen(w, v.id, 2 * time));
      case 11 -> loseAllButWorkers(w, leader, time);
      case 12 -> loseAllButWorkers(w, one, time);
      case 14 ->
          w.cloud
              .machines
              .keySet()
              .forEach(
                  h ->
                      hold(
                          w,
                          h + ">" + leader.platform.label(),
                          leader.platform.label() + ">" + h,
                          time));
      case 13 -> {
        // Back at once, and once more in the middle of the election that follows.
        leader.crash(0.1 + w.random.nextDouble() / 10);
        w.at(
            500_000 + w.random.nextLong(3_000_000),
            () -> all.get(w.random.nextInt(all.size())).crash(0.15));
      }
      default ->
          w.cloud.machines.values().stream()
              .filter(v -> v.site.equals("a"))
              .forEach(
                  v ->
                      hold(
                          w,
                          v.id + ">" + leader.platform.label(),
                          leader.platform.label() + ">" + v.id,
                          time));
    }
  }

  /** Its reports arrive; answers and commands to it don't, and come late if at all. */
  private static void deafen(World w, String host, long time) {
    w.cuts.put("*>" + host, true);
    w.at(time, () -> w.cuts.remove("*>" + host));
  }

  private static void loseAllButWorkers(World w, World.Member m, long time) {
    String label = m.platform.label();
    hold(w, label + ">state", "state>" + label, time);
    w.members.keySet().stream()
        .filter(o -> !o.equals(label))
        .forEach(o -> hold(w, label + ">" + o, o + ">" + label, time));
  }

  private static void hold(World w, String there, String back, long time) {
    w.cuts.put(there, true);
    w.cuts.put(back, true);
    w.at(
        time,
        () -> {
          w.cuts.remove(there);
          w.cuts.remove(back);
        });
  }

  static void calm(World w) {
    w.loseAnswer = 0;
    w.executeLate = 0;
    w.repeat = 0;
    w.copyReports = 0;
    w.calmSince = w.now();
    w.cuts.clear();
    w.store.refused.clear();
    w.cloud.outage = false;
    w.store.endOutage();
    w.cloud
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
   * A leader crashes while a machine that runs tasks can't be reached for a while, and there is
   * room elsewhere.
   */
  private static World takeoverWithAHiddenMachine(Consumer<World> beforeTheCrash) {
    World w = world(21);
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < 8; i++) {
      users.submit(10, 1, 5, false);
    }
    w.at(40_000_000, () -> users.submit(6, 1, 120, false));
    w.at(40_000_000, () -> users.submit(6, 1, 120, false));
    w.play(70);
    beforeTheCrash.accept(w);
    w.cloud.machines.values().stream()
        .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
        .limit(1)
        .forEach(v -> hold(w, v.id + ">*", "*>" + v.id, 15_000_000));
    w.members.values().stream().filter(World.Member::leads).findFirst().orElseThrow().crash(5);
    w.play(60);
    return w;
  }

  /**
   * The checks can fail: a successor that is told of no job that its predecessor began starts some
   * twice.
   */
  @Test
  void withoutTheRecordOfBegunJobsTasksRunTwice() {
    World w =
        takeoverWithAHiddenMachine(
            v -> v.store.forge("begun/", Json.object().set("jobs", Json.object().arrayNode())));
    assertTrue(
        w.rules.broken.stream().anyMatch(b -> b.startsWith("ran_twice")),
        "the checks must see the missing guard");
  }

  /**
   * The checks can fail: a successor that is not told which machines may hold tasks starts some
   * twice.
   */
  @Test
  void withoutTheRecordOfMachinesTasksRunTwice() {
    World w = takeoverWithAHiddenMachine(v -> v.store.hidden = "fleet/");
    assertTrue(
        w.rules.broken.stream().anyMatch(b -> b.startsWith("ran_twice")),
        "the checks must see the missing guard");
  }

  @Test
  void withTheRecordOfMachinesNoTaskRunsTwice() {
    World w = takeoverWithAHiddenMachine(v -> {});
    assertEquals(List.of(), w.rules.broken);
  }

  /**
   * Machines behind a cut go on working within their leases; the leader must not delete them for
   * their silence.
   */
  @Test
  void aShortCutOfAZoneCostsNoMachine() {
    World w = world(41);
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < 8; i++) {
      users.submit(8, 1, 100, false);
    }
    w.play(60);
    World.Member leader =
        w.members.values().stream().filter(World.Member::leads).findFirst().orElseThrow();
    List<String> behind =
        w.cloud.machines.values().stream()
            .filter(v -> v.site.equals("a") && v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .toList();
    assertTrue(behind.size() >= 3, "the zone has machines");
    behind.forEach(
        h ->
            hold(
                w,
                h + ">" + leader.platform.label(),
                leader.platform.label() + ">" + h,
                16_000_000));
    w.play(30);
    assertTrue(w.cloud.machines.keySet().containsAll(behind), "no machine was returned");
    assertEquals(List.of(), w.rules.broken);
  }

  /**
   * A machine taken right before the leader's crash must not hold up all that its successor
   * inherits.
   */
  @Test
  void aVanishedMachineHoldsUpATakeoverOnlyShortly() {
    World w = world(43);
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < 8; i++) {
      users.submit(8, 1, 100, false);
    }
    w.play(60);
    String gone =
        w.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .findFirst()
            .orElseThrow();
    w.cloud.delete(gone);
    w.members.values().stream().filter(World.Member::leads).findFirst().orElseThrow().crash(30);
    w.play(8);
    World.Member next =
        w.members.values().stream().filter(World.Member::leads).findFirst().orElseThrow();
    assertTrue(next.node().leader().tookOver(), "the takeover is complete");
    assertEquals(List.of(), w.rules.broken);
  }

  /**
   * While a zone is cut off a takeover lasts as long as a lease. What no earlier leader began need
   * not wait for it, and machines are rented for it.
   */
  @Test
  void whatNoLeaderBeganDoesNotWaitForACutZone() {
    World w = world(51);
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < 8; i++) {
      users.submit(10, 1, 5, false);
    }
    w.at(40_000_000, () -> users.submit(6, 1, 200, false));
    w.play(60);
    for (String h :
        w.cloud.machines.values().stream()
            .filter(v -> v.site.equals("a"))
            .map(v -> v.id)
            .toList()) {
      hold(w, h + ">*", "*>" + h, 60_000_000);
    }
    w.leader().crash(60);
    w.play(2);
    JobSpec late =
        new JobSpec(
            users.nextUid(),
            "c1",
            "blue",
            Urgency.STANDARD,
            6,
            1,
            0,
            2,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            60,
            0,
            0,
            JobSpec.NO_DEADLINE);
    users.submit(late, false);
    w.play(16);
    assertFalse(w.leader().node().leader().tookOver(), "the cut zone is not accounted for yet");
    assertTrue(
        w.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .flatMap(v -> v.worker.tasks.values().stream())
            .anyMatch(t -> t.on() && t.name.startsWith(late.uid())),
        "it runs before that");
    w.play(300);
    assertEquals(List.of(), w.rules.broken);
    assertEquals("done", w.rules.lastTold.get(late.uid()));
  }

  /** One survivor of three goes on serving. */
  @Test
  void oneNodeSuffices() {
    World w = world(31);
    FakeUsers users = new FakeUsers(w);
    submitOverTime(w, users, 15, 4);
    w.play(20);
    w.members.values().stream().skip(1).forEach(World.Member::kill);
    w.play(400);
    assertAllServed(w, users, 15);
  }
}
