package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.Endpoint;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/**
 * What a leader does not know: jobs are cancelled through another controller while it can't hear of
 * it, and their tasks must be gone in time all the same (safety notes, 49 and 50).
 */
final class GapTest {
  private World world;
  private FakeUsers users;
  private final List<JobSpec> jobs = new ArrayList<>();

  private void deployment(long seed, long believedCancelMicros) {
    world =
        new World(
            seed,
            3,
            List.of(new Platform.Team("red", 16, 48, 0, 0), new Platform.Team("blue", 16, 0, 0, 0)),
            false,
            believedCancelMicros);
    users = new FakeUsers(world);
    for (int i = 0; i < 6; i++) {
      JobSpec job =
          new JobSpec(
              users.nextUid(),
              "c0",
              "blue",
              Urgency.STANDARD,
              6,
              2,
              0,
              2,
              "img",
              1,
              null,
              null,
              false,
              false,
              true,
              300,
              0,
              0,
              JobSpec.NO_DEADLINE);
      jobs.add(job);
      users.submit(job, false);
    }
    world.play(45);
    assertTrue(tasksOn() >= 30, "tasks run: " + tasksOn());
  }

  private int tasksOn() {
    return (int)
        world.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .flatMap(v -> v.worker.tasks.values().stream())
            .filter(FakeWorker.Task::on)
            .count();
  }

  private World.Member other(World.Member than) {
    return world.members.values().stream().filter(m -> m != than).findFirst().orElseThrow();
  }

  /** Cancels through the controller, and notes what the user was told when. */
  private void cancelAt(World.Member member, JobSpec job, Consumer<Integer> status) {
    users.cancelAt(new Endpoint(member.platform.label(), 1), job.uid(), status);
  }

  /**
   * The day of the hunt: the state service refuses the leader alone, jobs are cancelled through
   * another controller, then it is out for everybody for longer than a cancellation has. Workers go
   * on reporting to the old leader.
   */
  @ParameterizedTest
  @ValueSource(longs = {71, 72, 73, 74})
  void cancelledThroughAnotherControllerBeforeALongOutage(long seed) {
    deployment(seed, Rules.CANCEL_MICROS);
    World.Member leader = world.leader();
    String label = leader.platform.label();
    world.store.refused.add(label);
    List<Integer> told = new ArrayList<>();
    world.at(300_000, () -> jobs.subList(0, 4).forEach(j -> cancelAt(other(leader), j, told::add)));
    world.at(1_200_000 + 200_000 * (seed % 4), () -> world.store.outage = true);
    world.play(2);
    assertEquals(List.of(200, 200, 200, 200), told, "confirmed before the outage");
    assertTrue(world.store.refusals.getOrDefault(label, 0) > 0, "the leader alone was refused");
    world.play(1);
    assertTrue(world.cloud.reportingTo(label) > 0, "workers still report to the old leader");
    world.at(55_000_000, world.store::endOutage);
    world.at(60_000_000, () -> world.store.refused.clear());
    world.play(Rules.CANCEL_MICROS / 1e6 + 90);
    assertEquals(List.of(), world.rules.broken);
    jobs.subList(0, 4).forEach(j -> assertEquals("aborted", world.rules.lastTold.get(j.uid())));
    assertNotEquals(0, tasksOn(), "the others run again");
  }

  /**
   * The leader keeps its office, for its grant is renewed, but its watches are never answered:
   * nothing tells it of what is cancelled elsewhere. Here the bound is all there is.
   */
  private void withoutWatches(long believedCancelMicros) {
    deployment(75, believedCancelMicros);
    World.Member leader = world.leader();
    world.store.unwatched.add(leader.platform.label());
    world.play(2);
    List<Integer> told = new ArrayList<>();
    // Its peers would tell it; here they can't.
    world.members.keySet().stream()
        .filter(o -> !o.equals(leader.platform.label()))
        .forEach(o -> world.cut(leader.platform.label(), o, true));
    jobs.subList(0, 4).forEach(j -> cancelAt(other(leader), j, told::add));
    world.play(1);
    assertEquals(List.of(200, 200, 200, 200), told);
    world.play(Rules.CANCEL_MICROS / 1e6 + 5);
    assertTrue(leader.leads(), "it has kept its office all the time");
  }

  @Test
  void aLeaderThatHearsOfNoEndsLetsLeasesLapseInTime() {
    withoutWatches(Rules.CANCEL_MICROS);
    assertEquals(List.of(), world.rules.broken);
    assertTrue(world.leader().node().metrics().counted("renewals_refused") > 0, "by the bound");
  }

  /**
   * The check can fail: a leader that believes to have an hour for a cancellation goes on renewing.
   */
  @Test
  void withoutTheBoundCancelledTasksOutliveTheirTime() {
    withoutWatches(3_600_000_000L);
    assertTrue(
        world.rules.broken.stream().anyMatch(b -> b.startsWith("ran_cancelled")),
        "the checks must see the missing bound");
  }

  /**
   * Sooner is better: the controller that confirmed a cancellation tells the leader, which halts
   * the tasks.
   */
  @Test
  void peersTellWhatTheStateServiceDoesNot() {
    deployment(77, Rules.CANCEL_MICROS);
    World.Member leader = world.leader();
    world.store.unwatched.add(leader.platform.label());
    world.play(2);
    List<Integer> told = new ArrayList<>();
    jobs.subList(0, 4).forEach(j -> cancelAt(other(leader), j, told::add));
    world.play(8);
    assertEquals(List.of(200, 200, 200, 200), told);
    assertTrue(leader.leads());
    long on =
        world.cloud.machines.values().stream()
            .filter(v -> v.worker != null)
            .flatMap(v -> v.worker.tasks.values().stream())
            .filter(
                t ->
                    t.on()
                        && jobs.subList(0, 4).stream()
                            .anyMatch(j -> t.name.startsWith(j.uid() + "/")))
            .count();
    assertEquals(0, on, "halted long before any lease would have ended");
    assertTrue(tasksOn() > 0, "the others run on");
    assertEquals(List.of(), world.rules.broken);
  }

  /**
   * A new leader renews no lease of a machine with tasks before it has read which jobs have ended.
   */
  @Test
  void aLeaderThatHasNotReadItsJobsRenewsNothing() {
    deployment(76, Rules.CANCEL_MICROS);
    world.store.slowPrefix = "active/";
    world.leader().crash(20);
    world.play(8);
    World.Member next = world.leader();
    long[] sent = new long[1];
    int[] status = new int[1];
    FakeCloud.Vm busy =
        world.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .findFirst()
            .orElseThrow();
    sent[0] = world.now();
    long[] answered = new long[1];
    next.node()
        .front()
        .handle(
            "POST",
            "/hello",
            busy.worker.statusBytes(),
            (s, json, retry) -> {
              status[0] = s;
              answered[0] = world.now();
            });
    world.play(3.5);
    assertEquals(503, status[0], "not renewed while the jobs are not read");
    assertTrue(answered[0] - sent[0] <= 3_000_000, "and told within the time that a worker waits");
    world.store.slowPrefix = null;
    world.play(120);
    assertEquals(List.of(), world.rules.broken);
  }
}
