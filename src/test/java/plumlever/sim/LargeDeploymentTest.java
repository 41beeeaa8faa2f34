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
    World w =
        new World(
            77,
            3,
            List.of(
                new Platform.Team("red", 2000, 9000, 0, 0),
                new Platform.Team("blue", 2000, 0, 0, 0)),
            false);
    w.cloud.most = 1_000;
    FakeUsers users = new FakeUsers(w);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      int n = i;
      w.at(
          n * 900_000L,
          () -> {
            JobSpec j =
                new JobSpec(
                    users.nextUid(),
                    n % 3 == 0 ? "slow" : "quick",
                    n % 2 == 0 ? "red" : "blue",
                    n % 3 == 0 ? Urgency.IDLE : Urgency.STANDARD,
                    TASKS,
                    2,
                    0,
                    4,
                    "img-" + n % 12,
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    40 + n % 5 * 10,
                    n % 3 == 0 ? 15 : 0,
                    n % 3 == 0 ? 2 : 0,
                    n % 3 == 0 ? JobSpec.NO_DEADLINE : 150);
            all.add(j);
            users.submit(j, false);
          });
    }
    w.play(75);
    int machines = w.cloud.machines.size();
    assertTrue(machines > 450, "a large fleet is rented: " + machines);
    assertTrue(w.store.count("fleet/") <= 14, "machines share records: " + w.store.count("fleet/"));
    // A successor is told of the images on nearly all of them, however many values that takes.
    Set<String> hinted = new HashSet<>();
    w.store
        .values("hints/")
        .forEach(v -> v.path("machines").fieldNames().forEachRemaining(hinted::add));
    long working =
        w.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .count();
    assertTrue(
        working > 300 && hinted.size() > 0.7 * working,
        hinted.size() + " machines with hints, " + working + " at work");
    w.leader().crash(5);
    w.play(12);
    assertTrue(w.leader().node().leader().tookOver(), "a large fleet is taken over in seconds");
    w.cloud.machines.values().stream()
        .filter(v -> v.spot && v.worker != null)
        .map(v -> v.id)
        .toList()
        .stream()
        .filter(h -> w.random.nextBoolean())
        .forEach(w.cloud::delete);
    w.play(10);
    w.store.outage = true;
    w.play(12);
    w.store.endOutage();
    w.calmSince = w.now();
    w.play(360);
    w.rules.checkServed();
    assertEquals(List.of(), w.rules.broken);
    assertEquals(JOBS, all.size());
    all.forEach(j -> assertEquals("done", w.rules.lastTold.get(j.uid()), j.uid()));
    assertTrue(w.rules.starts >= JOBS * TASKS, "thousands of tasks: " + w.rules.starts);
    assertTrue(w.store.largestValue <= 4_096, "largest value: " + w.store.largestValue);
    // Limits of the simulated state service: 200 requests and 25 changes a second, with a second's
    // burst.
    assertTrue(
        w.store.mostRequests <= 250, "requests in the busiest second: " + w.store.mostRequests);
    assertTrue(w.store.mostChanges <= 60, "changes in the busiest second: " + w.store.mostChanges);
    long seats =
        w.members.values().stream()
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
    World w =
        new World(
            78,
            3,
            List.of(new Platform.Team("red", 0, 0, 0, 0), new Platform.Team("blue", 0, 0, 0, 0)),
            false);
    w.cloud.most = 80;
    FakeUsers users = new FakeUsers(w);
    for (int i = 0; i < 300; i++) {
      w.at(i * 50_000L, () -> users.submit(40, 2, 60, false));
    }
    w.play(60);
    long before = w.leader().node().metrics().counted("seats_evaluated");
    w.play(10);
    long seats = w.leader().node().metrics().counted("seats_evaluated") - before;
    long rounds = 10_000_000 / 150_000;
    assertTrue(
        seats > 0 && seats < rounds * w.cloud.machines.size() * 30,
        "seats evaluated: " + seats + " for " + w.cloud.machines.size() + " machines");
  }

  /**
   * Half as many machines again as the users have, with all that may befall so many: controllers
   * restarted one after the other and all at once, dozens of machines dead, dozens hanging past
   * their lease and going on, a leader standing still while its clocks run on, a zone cut off for
   * longer than a lease. What is used up doesn't depend on how fast this runs.
   */
  @Test
  void sixteenHundredMachinesThroughFailuresOfMany() {
    World w =
        new World(
            78,
            3,
            List.of(
                new Platform.Team("red", 4000, 14_000, 0, 0),
                new Platform.Team("blue", 4000, 0, 0, 0)),
            false);
    w.cloud.most = 1_600;
    FakeUsers users = new FakeUsers(w);
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 110; i++) {
      int n = i;
      w.at(
          n < 70 ? n * 300_000L : 21_000_000L + n * 700_000L,
          () -> {
            JobSpec j =
                new JobSpec(
                    users.nextUid(),
                    n % 3 == 0 ? "slow" : "quick",
                    n % 2 == 0 ? "red" : "blue",
                    n % 3 == 0 ? Urgency.IDLE : Urgency.STANDARD,
                    n < 70 ? 140 : 40,
                    2,
                    0,
                    4,
                    "img-" + n % 12,
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    40 + n % 5 * 10,
                    n % 3 == 0 ? 15 : 0,
                    n % 3 == 0 ? 2 : 0,
                    n % 3 == 0 ? JobSpec.NO_DEADLINE : 150);
            all.add(j);
            users.submit(j, false);
          });
    }
    w.play(60);
    assertTrue(w.cloud.machines.size() > 1_300, "a fleet of the size: " + w.cloud.machines.size());
    for (World.Member m : List.copyOf(w.members.values())) {
      m.crash(2);
      w.play(7);
    }
    List<String> running =
        w.cloud.machines.values().stream().filter(v -> v.worker != null).map(v -> v.id).toList();
    running.stream()
        .filter(h -> w.random.nextInt(12) == 0)
        .forEach(h -> w.cloud.machines.get(h).worker.die());
    w.play(4);
    List.copyOf(w.members.values()).forEach(m -> m.crash(1 + w.random.nextDouble()));
    w.play(10);
    long hangS = 2 * FakeWorker.LEASE_MICROS / 1_000_000;
    w.cloud.machines.values().stream()
        .filter(v -> v.worker != null && w.random.nextInt(10) == 0)
        .toList()
        .forEach(
            v -> {
              v.worker.hung = true;
              w.at(hangS * 1_000_000, () -> v.worker.hung = false);
            });
    w.play(5);
    w.leader().freeze(15);
    w.play(hangS);
    List<String> behind =
        w.cloud.machines.values().stream().filter(v -> v.site.equals("b")).map(v -> v.id).toList();
    behind.forEach(
        h -> {
          w.cuts.put("*>" + h, true);
          w.cuts.put(h + ">*", true);
        });
    w.play(1);
    w.leader().crash(3);
    w.play(FakeWorker.LEASE_MICROS / 1e6 + 10);
    assertTrue(
        w.leader().node().leader().tookOver(),
        "a cut zone holds a takeover up for no longer than a lease");
    w.cuts.clear();
    w.calmSince = w.now();
    w.play(400);
    w.rules.checkServed();
    assertEquals(List.of(), w.rules.broken);
    all.forEach(j -> assertEquals("done", w.rules.lastTold.get(j.uid()), j.uid()));
    assertTrue(w.store.largestValue <= 4_096, "largest value: " + w.store.largestValue);
    assertTrue(
        w.store.mostRequests <= 250, "requests in the busiest second: " + w.store.mostRequests);
    assertTrue(w.store.mostChanges <= 60, "changes in the busiest second: " + w.store.mostChanges);
    // One for each worker, and calls that are under way; the users' own sites have room for 300
    // more.
    assertTrue(w.mostSockets <= 1_600 + 112, "sockets in use: " + w.mostSockets);
    long seats =
        w.members.values().stream()
            .mapToLong(m -> m.node().metrics().counted("seats_evaluated"))
            .sum();
    long reports =
        w.members.values().stream().mapToLong(m -> m.node().metrics().counted("reports")).sum();
    assertTrue(
        reports > 10_000 && seats / reports < 60, "work for each report: " + seats / reports);
  }
}
