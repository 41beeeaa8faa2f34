package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/**
 * Hundreds of machines and thousands of tasks, through a crash, a wave and an outage; bounded by
 * counts that repeat.
 */
final class LargeDeploymentTest {
  private static final int JOBS = 90;
  private static final int TASKS = 50;

  @Test
  void aThousandMachinesStayWithinEveryLimit() {
    World world =
        new World(
            77,
            3,
            List.of(
                new Platform.Team("red", 2000, 9000, 0, 0),
                new Platform.Team("blue", 2000, 0, 0, 0)),
            false);
    world.cloud.most = 1_000;
    FakeUsers users = new FakeUsers(world);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      int count = i;
      world.at(
          count * 900_000L,
          () -> {
            JobSpec job =
                new JobSpec(
                    users.nextUid(),
                    count % 3 == 0 ? "slow" : "quick",
                    count % 2 == 0 ? "red" : "blue",
                    count % 3 == 0 ? Urgency.IDLE : Urgency.STANDARD,
                    TASKS,
                    2,
                    0,
                    4,
                    "img-" + count % 12,
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    40 + count % 5 * 10,
                    count % 3 == 0 ? 15 : 0,
                    count % 3 == 0 ? 2 : 0,
                    count % 3 == 0 ? JobSpec.NO_DEADLINE : 150);
            all.add(job);
            users.submit(job, false);
          });
    }
    world.play(75);
    int machines = world.cloud.machines.size();
    assertTrue(machines > 450, "a large fleet is rented: " + machines);
    assertTrue(
        world.store.count("fleet/") <= 14,
        "machines share records: " + world.store.count("fleet/"));
    // A successor is told of the images on nearly all of them, however many values that takes.
    Set<String> hinted = new HashSet<>();
    world
        .store
        .values("hints/")
        .forEach(v -> v.path("machines").fieldNames().forEachRemaining(hinted::add));
    long working =
        world.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .count();
    assertTrue(
        working > 300 && hinted.size() > 0.7 * working,
        hinted.size() + " machines with hints, " + working + " at work");
    world.leader().crash(5);
    world.play(12);
    assertTrue(world.leader().node().leader().tookOver(), "a large fleet is taken over in seconds");
    world.cloud.machines.values().stream()
        .filter(v -> v.spot && v.worker != null)
        .map(v -> v.id)
        .toList()
        .stream()
        .filter(h -> world.random.nextBoolean())
        .forEach(world.cloud::delete);
    world.play(10);
    world.store.outage = true;
    world.play(12);
    world.store.endOutage();
    world.calmSince = world.now();
    world.play(360);
    world.rules.checkServed();
    assertEquals(List.of(), world.rules.broken);
    assertEquals(JOBS, all.size());
    all.forEach(j -> assertEquals("done", world.rules.lastTold.get(j.uid()), j.uid()));
    assertTrue(world.rules.starts >= JOBS * TASKS, "thousands of tasks: " + world.rules.starts);
    assertTrue(world.store.largestValue <= 4_096, "largest value: " + world.store.largestValue);
    // Limits of the simulated state service: 200 requests and 25 changes a second, with a second's
    // burst.
    assertTrue(
        world.store.mostRequests <= 250,
        "requests in the busiest second: " + world.store.mostRequests);
    assertTrue(
        world.store.mostChanges <= 60, "changes in the busiest second: " + world.store.mostChanges);
    long seats =
        world.members.values().stream()
            .mapToLong(m -> m.node().metrics().counted("seats_evaluated"))
            .sum();
    assertTrue(seats > 0 && seats < 3_000_000, "seats evaluated: " + seats);
  }

  /**
   * A full fleet with hundreds of jobs behind it: a round must not look for each of them at every
   * machine.
   */
  @Test
  void roundsStayShortWhereHundredsOfJobsWait() {
    World world =
        new World(
            78,
            3,
            List.of(new Platform.Team("red", 0, 0, 0, 0), new Platform.Team("blue", 0, 0, 0, 0)),
            false);
    world.cloud.most = 80;
    FakeUsers users = new FakeUsers(world);
    for (int i = 0; i < 300; i++) {
      world.at(i * 50_000L, () -> users.submit(40, 2, 60, false));
    }
    world.play(60);
    long before = world.leader().node().metrics().counted("seats_evaluated");
    world.play(10);
    long seats = world.leader().node().metrics().counted("seats_evaluated") - before;
    long rounds = 10_000_000 / 150_000;
    assertTrue(
        seats > 0 && seats < rounds * world.cloud.machines.size() * 30,
        "seats evaluated: " + seats + " for " + world.cloud.machines.size() + " machines");
  }

  /**
   * Half as many machines again as the users have, with all that may befall so many: controllers
   * restarted one after the other and all at once, dozens of machines dead, dozens hanging past
   * their lease and going on, a leader standing still while its clocks run on, a zone cut off for
   * longer than a lease. What is used up doesn't depend on how fast this runs.
   */
  @Test
  void sixteenHundredMachinesThroughFailuresOfMany() {
    World world =
        new World(
            78,
            3,
            List.of(
                new Platform.Team("red", 4000, 14_000, 0, 0),
                new Platform.Team("blue", 4000, 0, 0, 0)),
            false);
    world.cloud.most = 1_600;
    FakeUsers users = new FakeUsers(world);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 110; i++) {
      int count = i;
      world.at(
          count < 70 ? count * 300_000L : 21_000_000L + count * 700_000L,
          () -> {
            JobSpec job =
                new JobSpec(
                    users.nextUid(),
                    count % 3 == 0 ? "slow" : "quick",
                    count % 2 == 0 ? "red" : "blue",
                    count % 3 == 0 ? Urgency.IDLE : Urgency.STANDARD,
                    count < 70 ? 140 : 40,
                    2,
                    0,
                    4,
                    "img-" + count % 12,
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    40 + count % 5 * 10,
                    count % 3 == 0 ? 15 : 0,
                    count % 3 == 0 ? 2 : 0,
                    count % 3 == 0 ? JobSpec.NO_DEADLINE : 150);
            all.add(job);
            users.submit(job, false);
          });
    }
    world.play(60);
    assertTrue(
        world.cloud.machines.size() > 1_300, "a fleet of the size: " + world.cloud.machines.size());
    for (World.Member member : List.copyOf(world.members.values())) {
      member.crash(2);
      world.play(7);
    }
    List<String> running =
        world.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .map(v -> v.id)
            .toList();
    running.stream()
        .filter(h -> world.random.nextInt(12) == 0)
        .forEach(h -> world.cloud.machines.get(h).worker.die());
    world.play(4);
    List.copyOf(world.members.values()).forEach(m -> m.crash(1 + world.random.nextDouble()));
    world.play(10);
    long hangS = 2 * FakeWorker.LEASE_MICROS / 1_000_000;
    world.cloud.machines.values().stream()
        .filter(v -> v.worker != null && world.random.nextInt(10) == 0)
        .toList()
        .forEach(
            v -> {
              v.worker.hung = true;
              world.at(hangS * 1_000_000, () -> v.worker.hung = false);
            });
    world.play(5);
    world.leader().freeze(15);
    world.play(hangS);
    List<String> behind =
        world.cloud.machines.values().stream()
            .filter(v -> v.site.equals("b"))
            .map(v -> v.id)
            .toList();
    behind.forEach(
        h -> {
          world.cuts.put("*>" + h, true);
          world.cuts.put(h + ">*", true);
        });
    world.play(1);
    world.leader().crash(3);
    world.play(FakeWorker.LEASE_MICROS / 1e6 + 10);
    assertTrue(
        world.leader().node().leader().tookOver(),
        "a cut zone holds a takeover up for no longer than a lease");
    world.cuts.clear();
    world.calmSince = world.now();
    world.play(400);
    world.rules.checkServed();
    assertEquals(List.of(), world.rules.broken);
    all.forEach(j -> assertEquals("done", world.rules.lastTold.get(j.uid()), j.uid()));
    assertTrue(world.store.largestValue <= 4_096, "largest value: " + world.store.largestValue);
    assertTrue(
        world.store.mostRequests <= 250,
        "requests in the busiest second: " + world.store.mostRequests);
    assertTrue(
        world.store.mostChanges <= 60, "changes in the busiest second: " + world.store.mostChanges);
    // One for each worker, and calls that are under way; the users' own sites have room for 300
    // more.
    assertTrue(world.mostSockets <= 1_600 + 112, "sockets in use: " + world.mostSockets);
    long seats =
        world.members.values().stream()
            .mapToLong(m -> m.node().metrics().counted("seats_evaluated"))
            .sum();
    long reports =
        world.members.values().stream().mapToLong(m -> m.node().metrics().counted("reports")).sum();
    assertTrue(
        reports > 10_000 && seats / reports < 60, "work for each report: " + seats / reports);
  }
}
