package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/**
 * The troubles that came with the protocol's addition, each by itself and with the ones that make
 * it worse.
 */
final class TroublesTest {
  private static final double LIMIT = 48;

  private final World world =
      new World(
          61,
          3,
          List.of(
              new Platform.Team("red", 16, LIMIT, 0, 0), new Platform.Team("blue", 16, 0, 0, 0)),
          false);
  private final FakeUsers users = new FakeUsers(world);

  private JobSpec job(
      String owner, Urgency urgency, int pieces, double cores, double expectS, boolean oneZone) {
    return new JobSpec(
        users.nextUid(),
        urgency == Urgency.IDLE ? "slow" : "quick",
        owner,
        urgency,
        pieces,
        cores,
        0,
        2,
        "img",
        1,
        null,
        null,
        oneZone,
        false,
        true,
        expectS,
        0,
        0,
        JobSpec.NO_DEADLINE);
  }

  private JobSpec submit(JobSpec job) {
    users.submit(job, false);
    return job;
  }

  private void assertDone(JobSpec... jobs) {
    assertEquals(List.of(), world.rules.broken);
    for (JobSpec job : jobs) {
      assertEquals("done", world.rules.lastTold.get(job.uid()), job.uid());
    }
  }

  /** Reports of the machine arrive, nothing reaches it. */
  private String deafen(double seconds) {
    String host =
        world.cloud.machines.values().stream()
            .filter(v -> v.worker != null && !v.worker.tasks.isEmpty())
            .map(v -> v.id)
            .findFirst()
            .orElseThrow();
    world.cuts.put("*>" + host, true);
    world.at((long) (seconds * 1e6), () -> world.cuts.remove("*>" + host));
    return host;
  }

  @Test
  void aMachineThatNothingReachesLosesItsTasksToOthers() {
    JobSpec otherJob = submit(job("blue", Urgency.STANDARD, 12, 2, 30, false));
    world.play(35);
    deafen(400);
    world.play(150);
    assertDone(otherJob);
    JobSpec next = submit(job("blue", Urgency.STANDARD, 12, 2, 10, false));
    world.play(60);
    assertDone(next);
  }

  /**
   * A leader stands still for longer than its grant lasts, and wakes to reports that came
   * meanwhile: it must see by the clock that it is none any more before it answers the first of
   * them.
   */
  @Test
  void aLeaderThatStoodStillAnswersNobody() {
    JobSpec otherJob = submit(job("blue", Urgency.STANDARD, 40, 2, 40, false));
    world.play(40);
    World.Member stands = world.leader();
    stands.freeze(12);
    world.play(11.9);
    assertTrue(
        world.members.values().stream().anyMatch(m -> m != stands && m.leads()),
        "another leads by then");
    world.play(120);
    assertDone(otherJob);
  }

  /**
   * Its reports go on; answered, they would keep it from ever being accounted for, and all that is
   * inherited waits.
   */
  @Test
  void aMachineThatNothingReachesHoldsUpNoTakeoverForLong() {
    JobSpec full = submit(job("red", Urgency.STANDARD, 24, 2, 60, false));
    JobSpec waiting = submit(job("red", Urgency.STANDARD, 10, 2, 10, false));
    world.play(45);
    deafen(500);
    // The cloud can't take it back meanwhile.
    world.cloud.outage = true;
    world.leader().crash(3);
    world.play(75);
    assertTrue(world.leader().node().leader().tookOver(), "all machines are accounted for");
    world.play(150);
    assertDone(full, waiting);
  }

  /**
   * Reports come twice, seconds to minutes late, at any node, through two takeovers and after
   * machines were returned.
   */
  @Test
  void lateCopiesOfReportsChangeNothing() {
    world.copyReports = 0.5;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      world.at(
          i * 15_000_000L,
          () -> all.add(submit(job("blue", Urgency.STANDARD, 10, 2, 20, i(all) % 2 == 0))));
    }
    world.play(50);
    world.leader().crash(0.2);
    world.play(20);
    world.cloud.machines.keySet().stream().limit(3).toList().forEach(world.cloud::delete);
    world.play(10);
    world.leader().crash(6);
    world.play(250);
    assertEquals(8, all.size());
    assertDone(all.toArray(new JobSpec[0]));
  }

  private static int i(List<?> list) {
    return list.size();
  }

  /** Asked the same again, the node neither renews a lease nor gives work. */
  @Test
  void aCopyAtTheLeaderIsNotAnswered() {
    world.play(20);
    byte[] report =
        ("{\"host\":\"i-900000\",\"endpoint\":\"h:9\",\"flavor\":\"small\",\"site\":\"a\",\"loaners\":false,"
             + "\"tenure\":1,\"tick\":7,\"baton\":0,\"pieces\":[]}")
            .getBytes(StandardCharsets.UTF_8);
    int[] status = new int[2];
    for (int i = 0; i < 2; i++) {
      int count = i;
      world
          .leader()
          .node()
          .front()
          .handle("POST", "/hello", report, (s, json, retry) -> status[count] = s);
    }
    assertEquals(200, status[0]);
    assertEquals(503, status[1]);
  }

  /**
   * The leader loses the state service and the other controllers; its workers and its users still
   * reach it.
   */
  @Test
  void aLeaderLeftWithItsWorkersOnlyMakesWayAndSendsItsUsersAway() {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 6, 2, 60, false)));
    }
    world.play(50);
    String alone = world.leader().platform.label();
    for (String other : List.of("state", "n0", "n1", "n2")) {
      if (!other.equals(alone)) {
        world.cut(alone, other, true);
      }
    }
    world.calmSince = world.now();
    world.play(12);
    assertNotEquals(alone, world.leader().platform.label(), "another leads");
    int[] up = new int[1];
    boolean[] closed = new boolean[1];
    world.send(
        "probe",
        new plumlever.settings.Endpoint(alone, 1),
        "GET",
        "/up",
        null,
        2_000_000,
        a -> up[0] = (Integer) a[0]);
    world.send(
        "probe",
        new plumlever.settings.Endpoint(alone, 1),
        "GET",
        "/submissions/job-000001",
        null,
        5_000_000,
        a -> closed[0] = (Integer) a[0] == 503 && (Boolean) a[2]);
    world.play(5);
    assertEquals(503, up[0], "silence alone makes it unhealthy too");
    assertTrue(closed[0], "its users' connections end");
    world.play(250);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * It reaches the state service and the other controllers, but none of its workers: one that does
   * must lead.
   */
  @Test
  void aLeaderThatLostItsWorkersMakesWay() {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 6, 2, 60, false)));
    }
    world.play(50);
    String alone = world.leader().platform.label();
    world.cloud.machines.keySet().forEach(h -> world.cut(alone, h, true));
    world.play(22);
    assertNotEquals(alone, world.leader().platform.label(), "another leads");
    world.play(250);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * A zone is cut off from the leader for twice a lease, but not from the others nor from the state
   * service: they renew its leases meanwhile. A job cancelled in that time must be gone from there
   * all the same.
   */
  @Test
  void leasesBehindAPartitionAreRenewedByOthers() {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 8, 2, 90, false)));
    }
    JobSpec cancelled = job("blue", Urgency.STANDARD, 12, 2, 200, false);
    users.submit(cancelled, false);
    world.play(45);
    String leader = world.leader().platform.label();
    List<String> behind =
        world.cloud.machines.values().stream()
            .filter(v -> v.site.equals("a") && v.worker != null)
            .map(v -> v.id)
            .toList();
    assertTrue(behind.size() >= 4, "the zone has machines");
    behind.forEach(h -> world.cut(leader, h, true));
    world.at(5_000_000, () -> users.cancel(cancelled.uid()));
    world.at(45_000_000, () -> behind.forEach(h -> world.cut(leader, h, false)));
    world.play(60);
    long renewed =
        world.members.values().stream()
            .mapToLong(m -> m.node().metrics().counted("leases_renewed_for_leader"))
            .sum();
    assertTrue(renewed > 20, "leases were renewed: " + renewed);
    assertEquals(0, world.leader().node().metrics().counted("attempts_lost"), "no task was lost");
    assertEquals(leader, world.leader().platform.label());
    world.play(150);
    assertDone(all.toArray(new JobSpec[0]));
    assertEquals("aborted", world.rules.lastTold.get(cancelled.uid()));
  }

  /**
   * Where nobody reaches a zone, its tasks are given to others about as soon as without stand-ins.
   */
  @Test
  void aZoneThatNobodyReachesIsNotWaitedFor() {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 8, 2, 60, false)));
    }
    world.play(45);
    world.cloud.machines.values().stream()
        .filter(v -> v.site.equals("a") && v.worker != null)
        .forEach(v -> world.cuts.put(v.id + ">*", true));
    world.play(48);
    assertTrue(
        world.leader().node().metrics().counted("attempts_lost") > 0,
        "the tasks there are free again");
    world.play(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * The leader dies while others stand in for it: its successor must not take their machines for
   * lapsed too soon.
   */
  @Test
  void aSuccessorWaitsForStandIns() {
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 8, 2, 60, i % 2 == 0)));
    }
    world.play(45);
    String leader = world.leader().platform.label();
    List<String> behind =
        world.cloud.machines.values().stream()
            .filter(v -> v.site.equals("a") && v.worker != null)
            .map(v -> v.id)
            .toList();
    behind.forEach(h -> world.cut(leader, h, true));
    world.cloud.outage = true;
    world.play(20);
    // Now the others lose the zone as well.
    behind.forEach(h -> world.members.keySet().forEach(n -> world.cut(n, h, true)));
    world.leader().crash(1);
    world.at(
        60_000_000,
        () -> behind.forEach(h -> world.members.keySet().forEach(n -> world.cut(n, h, false))));
    world.play(90);
    world.cloud.outage = false;
    world.play(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /** A common outage, by refusals or by silence, leaves every node healthy. */
  @Test
  void aCommonOutageMakesNoNodeUnhealthy() {
    world.play(10);
    for (String text : List.of("n0", "n1", "n2")) {
      world.cut(text, "state", true);
    }
    List<Integer> seen = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      for (World.Member member : world.members.values()) {
        member.node().front().handle("GET", "/up", new byte[0], (s, json, retry) -> seen.add(s));
      }
      world.play(1);
    }
    assertEquals(List.of(200), seen.stream().distinct().toList());
  }

  /**
   * Leader, follower and a worker are back within a fraction of a second, and again while an
   * election goes on.
   */
  @Test
  void processesBackAtOnceStartNothingTwice() {
    world.repeat = 0.05;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 6, 2, 40, i % 2 == 0)));
    }
    world.play(40);
    for (int round = 0; round < 6; round++) {
      world.leader().crash(0.15);
      for (World.Member member : world.members.values()) {
        world.at(300_000L * (round + 1), () -> member.crash(0.1));
      }
      world.play(20);
    }
    world.play(200);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * Direct orders come again, up to a minute after they were carried out: a reaped task must not
   * start anew.
   */
  @Test
  void aLateCopyOfADirectOrderStartsNothing() {
    world.copyOrders = 1;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      JobSpec otherJob = job("blue", Urgency.STANDARD, 6, 2, 90, false);
      all.add(otherJob);
      users.submit(otherJob, true);
    }
    world.play(240);
    assertEquals(List.of(), world.rules.broken);
    all.forEach(j -> assertEquals("aborted", world.rules.lastTold.get(j.uid())));
  }

  /** The answers to direct orders are lost, and with them the word whether the tasks run. */
  @Test
  void anUnheardDirectOrderHoldsItsTaskUntilTheTokenIsRaised() {
    JobSpec first = submit(job("blue", Urgency.STANDARD, 8, 2, 5, false));
    world.play(40);
    assertDone(first);
    world.loseOrderAnswers = 0.7;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 10, 2, 8, false)));
      world.play(10);
    }
    world.play(120);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /** While an order is under way, reports that were sent before it arrived don't list its task. */
  @Test
  void aReportThatCrossesADirectOrderProvesNothing() {
    world.slowOrdersMicros = 1_200_000;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 10, 2, 8, false)));
      world.play(8);
    }
    world.play(120);
    assertDone(all.toArray(new JobSpec[0]));
    assertEquals(
        0, world.leader().node().metrics().counted("runs_lost"), "no order was taken for lost");
    assertTrue(world.leader().node().metrics().counted("runs_ordered") >= 100);
  }

  /** Nor may it while another order to the same machine is still under way, with the same token. */
  @Test
  void nothingIsReapedWhileALateCopyCouldStartItAnew() {
    world.slowOrdersMicros = 1_200_000;
    world.copyOrders = 1;
    world.cloud.most = 2;
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      all.add(submit(job("blue", Urgency.STANDARD, 3 + i % 4, 1, 3 + i % 5, false)));
      world.play(3);
    }
    world.play(120);
    assertDone(all.toArray(new JobSpec[0]));
  }

  /**
   * Age wins in the end: under a lasting stream of urgent work the large, slow, one-zone job of a
   * full team begins.
   */
  @Test
  void theLargestOfTheLeastUrgentBeginsWithinFourMinutes() {
    world.cloud.most = 6;
    for (int i = 0; i < 150; i++) {
      world.at(i * 2_000_000L, () -> submit(job("red", Urgency.PROD, 6, 2, 20, false)));
    }
    world.play(30);
    JobSpec large = submit(job("red", Urgency.IDLE, 40, 4, 20, true));
    world.play(245);
    assertTrue(world.rules.began(large.uid()), "it has begun");
    assertEquals(List.of(), world.rules.broken);
  }

  /** The checks can fail: questions left unanswered, and a job that never begins, are seen. */
  @Test
  void theChecksSeeForgottenAndUnservedJobs() {
    JobSpec otherJob = submit(job("blue", Urgency.STANDARD, 4, 2, 400, false));
    world.play(20);
    assertFalse(world.rules.lastTold.isEmpty());
    world.members.values().forEach(World.Member::kill);
    world.calmSince = world.now();
    world.play(300);
    world.rules.checkServed();
    assertTrue(
        world.rules.broken.stream().anyMatch(b -> b.startsWith("forgotten")),
        "forgotten: " + world.rules.broken);
    assertTrue(
        world.rules.broken.stream().anyMatch(b -> b.startsWith("half")), "half: " + otherJob.uid());
  }
}
