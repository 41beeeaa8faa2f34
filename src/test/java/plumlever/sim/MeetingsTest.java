package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.settings.Endpoint;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/**
 * Two troubles at a time, as the operators' list names them. Each test brings its meeting about,
 * shows that it took place, and then that no rule broke and everybody was served. The longest of
 * them, the gap, has a test of its own ({@link GapTest}).
 */
final class MeetingsTest {
  private static final double CANCEL_S = Rules.CANCEL_MICROS / 1e6;
  private static final double LEASE_S = FakeWorker.LEASE_MICROS / 1e6;

  /** A meeting, with what shows that it took place. */
  enum Meeting {
    SLOW_ANSWERS_THEN_A_LONG_OUTAGE(
        d -> {
          d.world.store.slowMicros = 700_000;
          d.world.at(3_000_000, () -> d.world.store.refused.add(d.leaderLabel()));
          d.world.at(4_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.world.at(6_000_000, () -> d.world.store.outage = true);
          d.world.play(8);
          int told = d.told("aborted");
          d.world.play(CANCEL_S + 6);
          d.endOfTrouble();
          return () -> told > 0 && d.world.store.refusals.size() == 3;
        }),
    A_ZONE_WITH_A_CONTROLLER_IS_CUT_OFF_FOR_OVER_A_LEASE(
        d -> {
          String inside = d.leaderLabel();
          List<String> zone = d.machinesIn("a");
          for (String other : List.of("n0", "n1", "n2", "state", "cloud")) {
            if (!other.equals(inside)) {
              d.world.cut(inside, other, true);
            }
          }
          zone.forEach(
              h ->
                  d.world.members.keySet().stream()
                      .filter(n -> !n.equals(inside))
                      .forEach(n -> d.world.cut(n, h, true)));
          d.world.at(4_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.world.play(LEASE_S + 12);
          boolean anotherLeads = !d.leaderLabel().equals(inside);
          d.endOfTrouble();
          return () -> anotherLeads && zone.size() >= 2;
        }),
    NEW_MACHINES_AT_ONCE_WHILE_WRITES_LAG_AND_THE_LEADER_ENDS(
        d -> {
          d.world.cloud.bootsAtOnce = true;
          d.world.cloud.most = 30;
          d.world.store.lateWrites = 0.3;
          int before = d.world.cloud.machines.size();
          d.stream(10, 0.3, 6, 20);
          d.world.play(3.5);
          boolean rented = d.world.cloud.machines.size() > before;
          d.world.leader().crash(4);
          d.world.play(25);
          d.endOfTrouble();
          return () -> rented && d.world.store.carriedOutAfterNewer > 0;
        }),
    ONE_TASK_JOBS_FOUR_A_SECOND_A_QUARTER_CANCELLED(
        d -> {
          int before = d.all.size();
          for (int i = 0; i < 360; i++) {
            boolean cancel = i % 4 == 0;
            d.world.at(
                i * 250_000L,
                () -> {
                  JobSpec job = d.submit("blue", 1, 1, 6, false);
                  if (cancel) {
                    d.world.at(
                        100_000 + d.world.random.nextLong(3_000_000),
                        () -> d.users.cancelOnceAccepted(job.uid()));
                  }
                });
          }
          d.world.at(40_000_000, () -> d.world.leader().crash(0.3));
          d.world.play(95);
          d.endOfTrouble();
          return () -> d.all.size() - before == 360 && d.told("aborted") > 20;
        }),
    ALL_CONTROLLERS_ARE_AWAY_FOR_OVER_A_LEASE(
        d -> {
          d.world.members.values().forEach(m -> m.crash(LEASE_S + 4));
          d.world.play(LEASE_S + 3);
          boolean nobody =
              d.world.members.values().stream().noneMatch(m -> m.node() != null)
                  && d.running(1).stream().noneMatch(d::isOn);
          d.world.play(10);
          d.endOfTrouble();
          return () -> nobody;
        }),
    COMMANDS_ARE_HELD_UP_FOR_SECONDS_BY_MACHINES_THAT_GO_ON(
        d -> {
          d.world.slowOrdersMicros = 3_000_000;
          d.world.cloud.machines.values().stream()
              .filter(v -> v.worker != null)
              .limit(4)
              .forEach(
                  v -> {
                    v.worker.hung = true;
                    d.world.at(12_000_000, () -> v.worker.hung = false);
                  });
          d.stream(8, 1, 6, 8);
          d.world.at(5_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.world.play(25);
          d.endOfTrouble();
          return () -> d.metric("direct_unheard") > 0;
        }),
    A_LEADER_WITH_ITS_WORKERS_ONLY_WHILE_JOBS_ARE_CANCELLED_ELSEWHERE(
        d -> {
          String alone = d.leaderLabel();
          List.of("n0", "n1", "n2", "state").stream()
              .filter(n -> !n.equals(alone))
              .forEach(n -> d.world.cut(alone, n, true));
          int reporting = d.world.cloud.reportingTo(alone);
          d.world.play(5);
          String next = d.leaderLabel();
          List<Integer> told = new ArrayList<>();
          d.running(3).forEach(uid -> d.users.cancelAt(new Endpoint(next, 1), uid, told::add));
          d.world.play(LEASE_S + 10);
          d.endOfTrouble();
          return () -> reporting > 0 && !next.equals(alone) && told.contains(200);
        }),
    WORKERS_REACH_NO_CONTROLLER_WHILE_COMMANDS_REACH_THEM(
        d -> {
          d.machinesIn("a").forEach(d.world.mute::add);
          d.world.at(3_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.stream(6, 2, 4, 10);
          d.world.at(8_000_000, () -> d.world.leader().crash(2));
          d.world.play(LEASE_S + 15);
          boolean muted = !d.world.mute.isEmpty();
          d.endOfTrouble();
          return () -> muted;
        }),
    TRANSACTIONS_CARRIED_OUT_UNHEARD_WHILE_OTHERS_READ(
        d -> {
          d.world.store.unheardWrites = 0.4;
          d.users.closeLooks = true;
          d.stream(10, 2, 4, 6);
          d.world.at(6_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.world.play(40);
          d.endOfTrouble();
          return () -> d.world.store.carriedOutUnheard > 10 && d.users.looks > 20;
        }),
    JOBS_BOUND_TO_ONE_ZONE_LOSE_MACHINES(
        d -> {
          for (int i = 0; i < 5; i++) {
            d.oneZone(8, 25);
          }
          d.world.play(14);
          List<String> lost = d.machinesIn("a").subList(0, d.machinesIn("a").size() / 2);
          lost.forEach(d.world.cloud::delete);
          d.world.play(4);
          d.world.leader().crash(0.2);
          d.world.play(20);
          d.endOfTrouble();
          return () -> !lost.isEmpty();
        }),
    TASKS_END_FAR_APART_ACROSS_A_CHANGE_OF_LEADER(
        d -> {
          d.world.cloud.most = 3;
          for (int i = 0; i < 8; i++) {
            d.submit("blue", 2 + i % 2, 4, 25, false);
          }
          d.world.play(30);
          d.world.leader().crash(2);
          d.world.play(40);
          int spread = d.world.rules.starts;
          d.endOfTrouble();
          return () -> spread > 8;
        }),
    AN_OLD_REPORT_REACHES_EVERY_CONTROLLER_AS_A_LEADER_BEGINS(
        d -> {
          d.world.copyReportsForNext = 0.3;
          d.stream(8, 2, 5, 10);
          d.world.play(20);
          d.world.leader().crash(1);
          d.world.play(15);
          d.world.leader().crash(0.2);
          d.world.play(20);
          d.endOfTrouble();
          return () -> d.world.copiesAtNext > 20;
        }),
    JOBS_ARE_CANCELLED_WHILE_WORK_CHANGES_HANDS(
        d -> {
          d.world.leader().crash(0.15);
          int[] asked = new int[1];
          for (int i = 0; i < 5; i++) {
            d.world.at(200_000 + 900_000L * i, () -> asked[0] += d.users.cancelNow(1, 0, 0).size());
          }
          d.world.play(8);
          d.endOfTrouble();
          return () -> asked[0] >= 3;
        }),
    CONTROLLERS_HAND_OVER_AND_BACK_ALL_END_AND_ONE_RETURNS(
        d -> {
          String first = d.leaderLabel();
          d.world.leader().crash(0.4);
          d.world.play(6);
          d.world.leader().crash(0.4);
          d.world.play(6);
          d.world.members.values().forEach(World.Member::kill);
          d.world.at(500_000, () -> d.world.members.get(first).start());
          d.world.at(900_000, () -> d.world.members.get(first).crash(0.1));
          d.world.play(12);
          boolean leads = d.leaderLabel().equals(first);
          d.world
              .members
              .values()
              .forEach(
                  m -> {
                    if (m.node() == null) {
                      m.start();
                    }
                  });
          d.endOfTrouble();
          return () -> leads && d.world.store.term() >= 3;
        }),
    MORE_WORK_THAN_ROOM_URGENT_AND_NOT_OVER_SLOW_LINKS(
        d -> {
          d.world.cloud.most = 5;
          d.world.slowOrdersMicros = 900_000;
          d.world.store.slowMicros = 300_000;
          for (int i = 0; i < 30; i++) {
            Urgency urgency = Urgency.values()[i % 4];
            d.world.at(i * 1_500_000L, () -> d.submit("blue", urgency, 6, 2, 15, false, false));
          }
          d.world.at(20_000_000, () -> d.users.cancelNow(4, 6, 3));
          d.world.play(50);
          boolean full = d.all.stream().anyMatch(j -> !d.world.rules.began(j.uid()));
          d.endOfTrouble();
          return () -> full;
        }),
    A_REPORT_IS_HELD_BACK_UNTIL_A_NEW_LEADER_HAS_ACTED(
        d -> {
          List<String> held = d.machinesIn("b");
          d.world
              .members
              .keySet()
              .forEach(n -> held.forEach(h -> d.world.cuts.put(h + ">" + n, true)));
          d.world.play(1.5);
          d.world.leader().crash(3);
          d.stream(5, 1, 4, 10);
          d.world.play(12);
          boolean acts = d.world.members.values().stream().anyMatch(World.Member::leads);
          d.endOfTrouble();
          return () -> acts && !held.isEmpty();
        }),
    USERS_LOOK_CLOSELY_AND_SOME_CANCEL_AT_ONCE(
        d -> {
          d.users.closeLooks = true;
          d.world.loseAnswer = 0.05;
          for (int i = 0; i < 20; i++) {
            boolean cancel = i % 3 == 0;
            d.world.at(
                i * 1_500_000L,
                () -> {
                  JobSpec job = d.submit("blue", 2, 1, 4, false);
                  if (cancel) {
                    d.world.at(30_000, () -> d.users.cancelOnceAccepted(job.uid()));
                  }
                });
          }
          d.world.at(12_000_000, () -> d.world.leader().crash(0.2));
          d.world.play(45);
          d.endOfTrouble();
          return () -> d.users.looks > 100 && d.told("aborted") > 3;
        }),
    LEADERS_CHANGE_TEN_TIMES_IN_TWO_MINUTES_ALSO_INSIDE_AN_OUTAGE(
        d -> {
          long before = d.world.store.term();
          for (int i = 0; i < 11; i++) {
            d.world.at(
                i * 10_500_000L,
                () ->
                    d.world.members.values().stream()
                        .filter(World.Member::leads)
                        .findFirst()
                        .ifPresent(m -> m.crash(0.3)));
          }
          d.world.at(50_000_000, () -> d.world.store.outage = true);
          d.world.at(62_000_000, d.world.store::endOutage);
          d.stream(10, 10, 4, 15);
          d.world.play(122);
          long records = d.world.store.count("fleet/") + d.world.store.count("begun/");
          d.endOfTrouble();
          return () -> d.world.store.term() - before >= 8 && records < 20;
        }),
    A_LEADER_ENDS_WHILE_MACHINES_WITH_LONG_TASKS_DO_NOT_HEAR(
        d -> {
          List<String> far = d.machinesIn("a");
          far.subList(0, far.size() / 2).forEach(h -> d.world.cuts.put("*>" + h, true));
          far.subList(far.size() / 2, far.size())
              .forEach(
                  h -> {
                    d.world.cuts.put("*>" + h, true);
                    d.world.cuts.put(h + ">*", true);
                  });
          d.world.leader().crash(5);
          d.world.at(6_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.world.play(LEASE_S + 25);
          d.endOfTrouble();
          return () -> far.size() >= 2;
        }),
    A_TRANSACTION_IS_CARRIED_OUT_AFTER_NEWER_ONES(
        d -> {
          d.world.store.lateWrites = 0.35;
          d.stream(14, 2, 5, 6);
          d.world.at(10_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.world.at(20_000_000, () -> d.world.leader().crash(1));
          d.world.play(55);
          d.endOfTrouble();
          return () -> d.world.store.carriedOutAfterNewer > 10;
        }),
    AN_OLD_REPORT_ARRIVES_AFTER_NEWER_ONES_ALSO_OF_EARLIER_SESSIONS(
        d -> {
          d.world.copyReports = 0.6;
          d.machinesIn("a").stream()
              .limit(2)
              .forEach(
                  h -> {
                    d.world.cuts.put(h + ">*", true);
                    d.world.cuts.put("*>" + h, true);
                    d.world.at(
                        (long) ((LEASE_S + 5) * 1e6),
                        () -> {
                          d.world.cuts.remove(h + ">*");
                          d.world.cuts.remove("*>" + h);
                        });
                  });
          d.stream(8, 4, 4, 8);
          d.world.play(60);
          d.endOfTrouble();
          return () -> d.metric("report_copies") > 20;
        }),
    A_TEAM_AT_ITS_LIMIT_AND_A_CANCELLATION_AT_A_CHANGE_OF_LEADER(
        d -> {
          d.fill("red");
          boolean full = d.world.rules.coresOf("red") > Deployment.LIMIT * 0.8;
          String hidden = d.busy("red");
          d.world.cuts.put(hidden + ">*", true);
          d.world.cuts.put("*>" + hidden, true);
          d.world.leader().crash(3);
          d.world.at(1_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.world.play(LEASE_S);
          d.endOfTrouble();
          return () -> full;
        }),
    EVERY_TEAM_AT_ITS_LIMIT_AND_CANCELLED_JOBS_ON_HUNG_MACHINES(
        d -> {
          d.fill("red");
          boolean full = d.world.rules.coresOf("red") > Deployment.LIMIT * 0.8;
          int[] called = new int[1];
          d.world.at(100_000, () -> called[0] = d.users.cancelNow(4, 14, 6).size());
          d.world.at(400_000, () -> d.world.leader().crash(2));
          d.world.play(LEASE_S + 10);
          d.endOfTrouble();
          return () -> full && called[0] >= 2;
        }),
    CANCELLATIONS_QUESTIONS_AND_REPEATS_MEET_THE_LAST_TASKS_END(
        d -> {
          d.users.meetEnds(0.8);
          d.users.closeLooks = true;
          d.stream(25, 1.2, 2, 5);
          d.world.play(60);
          d.endOfTrouble();
          return () -> d.told("aborted") > 0 && d.told("done") > 0 && d.users.looks > 50;
        }),
    ODD_REQUESTS_THROUGH_A_CHANGE_OF_LEADER(
        d -> {
          int[] sent = new int[1];
          for (int i = 0; i < 8; i++) {
            d.world.at(i * 4_000_000L, () -> sent[0] += d.users.oddRequests());
          }
          d.stream(5, 3, 2, 5);
          d.world.at(10_000_000, () -> d.world.leader().crash(1));
          d.world.play(40);
          d.endOfTrouble();
          return () -> sent[0] > 30;
        });

    interface Play {
      /** Brings the meeting about; tells whether it took place. */
      BooleanSupplier in(Deployment deployment);
    }

    final Play play;

    Meeting(Play play) {
      this.play = play;
    }
  }

  /** A small deployment with work, some of it long, when the meeting begins. */
  static final class Deployment {
    static final double LIMIT = 48;
    final World world;
    final FakeUsers users;
    final List<JobSpec> all = new ArrayList<>();

    Deployment(long seed) {
      world =
          new World(
              seed,
              3,
              List.of(
                  new Platform.Team("red", 16, LIMIT, 0, 0),
                  new Platform.Team("blue", 16, 0, 0, 0)),
              seed % 2 == 0);
      users = new FakeUsers(world);
      for (int i = 0; i < 8; i++) {
        submit("blue", 5, 2, 30 + 20 * (i % 4), false);
      }
      world.play(45);
      assertTrue(world.rules.starts >= 20, "tasks run: " + world.rules.starts);
    }

    JobSpec submit(String owner, int pieces, double cores, double runS, boolean cancel) {
      return submit(owner, Urgency.STANDARD, pieces, cores, runS, false, cancel);
    }

    JobSpec submit(
        String owner,
        Urgency urgency,
        int pieces,
        double cores,
        double runS,
        boolean oneZone,
        boolean cancel) {
      JobSpec job =
          new JobSpec(
              users.nextUid(),
              "c" + urgency.ordinal() % 2,
              owner,
              urgency,
              pieces,
              cores,
              0,
              2,
              "img-" + all.size() % 3,
              1,
              null,
              null,
              oneZone,
              false,
              true,
              runS,
              0,
              0,
              JobSpec.NO_DEADLINE);
      all.add(job);
      users.submit(job, cancel);
      return job;
    }

    void oneZone(int pieces, double runS) {
      submit("blue", Urgency.STANDARD, pieces, 2, runS, true, false);
    }

    /** Jobs that go on coming. */
    void stream(int jobs, double everyS, int pieces, double runS) {
      for (int i = 0; i < jobs; i++) {
        world.at((long) (i * everyS * 1e6), () -> submit("blue", pieces, 1, runS, false));
      }
    }

    /** Brings a team to its limit, with more of its work waiting. */
    void fill(String team) {
      for (int i = 0; i < 6; i++) {
        submit(team, 12, 2, 40, false);
      }
      world.play(40);
    }

    String leaderLabel() {
      return world.leader().platform.label();
    }

    List<String> machinesIn(String site) {
      return world.cloud.machines.values().stream()
          .filter(v -> v.site.equals(site) && v.worker != null)
          .map(v -> v.id)
          .toList();
    }

    String busy(String team) {
      return world.cloud.machines.values().stream()
          .filter(
              v ->
                  v.worker != null
                      && v.worker.tasks.values().stream()
                          .anyMatch(
                              t ->
                                  t.on()
                                      && world
                                          .rules
                                          .submitted
                                          .get(t.name.substring(0, t.name.indexOf('/')))
                                          .owner()
                                          .equals(team)))
          .map(v -> v.id)
          .findFirst()
          .orElseThrow();
    }

    List<String> running(int most) {
      return all.stream()
          .map(JobSpec::uid)
          .filter(u -> world.rules.began(u) && !world.rules.allDone(u))
          .limit(most)
          .toList();
    }

    boolean isOn(String uid) {
      return world.cloud.machines.values().stream()
          .filter(v -> v.worker != null)
          .flatMap(v -> v.worker.tasks.values().stream())
          .anyMatch(t -> t.on() && t.name.startsWith(uid + "/"));
    }

    int told(String status) {
      return (int) world.rules.lastTold.values().stream().filter(status::equals).count();
    }

    long metric(String name) {
      return world.members.values().stream()
          .filter(m -> m.node() != null)
          .mapToLong(m -> m.node().metrics().counted(name))
          .sum();
    }

    /** From here on everything works, and everybody must be served. */
    void endOfTrouble() {
      world.loseAnswer = 0;
      world.executeLate = 0;
      world.copyReports = 0;
      world.copyReportsForNext = 0;
      world.slowOrdersMicros = 0;
      world.mute.clear();
      world.cuts.clear();
      world.store.slowMicros = 0;
      world.store.lateWrites = 0;
      world.store.unheardWrites = 0;
      world.store.refused.clear();
      world.store.endOutage();
      world.cloud.machines.values().stream()
          .filter(v -> v.worker != null)
          .forEach(v -> v.worker.hung = false);
      world.cloud.most = Math.max(world.cloud.most, 14);
      world.calmSince = world.now();
      world.play(260);
    }
  }

  @ParameterizedTest
  @EnumSource(Meeting.class)
  void noRuleBreaks(Meeting meeting) {
    Deployment deployment = new Deployment(900 + meeting.ordinal());
    BooleanSupplier tookPlace = meeting.play.in(deployment);
    deployment.world.rules.checkServed();
    assertEquals(List.of(), deployment.world.rules.broken);
    assertTrue(tookPlace.getAsBoolean(), "the meeting took place");
    List<String> open = new ArrayList<>();
    for (JobSpec job : deployment.all) {
      String told = deployment.world.rules.lastTold.get(job.uid());
      if (!"done".equals(told) && !"aborted".equals(told)) {
        open.add(job.uid() + " " + told);
      }
    }
    assertEquals(List.of(), open, "every job comes to its end");
  }

  /**
   * Two or three meetings at a time, drawn by seed; {@code -Dplumlever.first=F -Dplumlever.seeds=N}
   * plays others.
   */
  static Stream<Long> seeds() {
    long first = Long.getLong("plumlever.first", 1);
    return Stream.iterate(first, s -> s + 1).limit(Integer.getInteger("plumlever.seeds", 6));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void severalInARow(long seed) {
    Deployment deployment = new Deployment(2_000 + seed);
    deployment.users.closeLooks = seed % 2 == 0;
    for (int i = 0; i < 3; i++) {
      Meeting meeting = Meeting.values()[deployment.world.random.nextInt(Meeting.values().length)];
      meeting.play.in(deployment);
      // Calm is over with the next.
      deployment.world.calmSince = Long.MAX_VALUE;
    }
    deployment.endOfTrouble();
    deployment.world.rules.checkServed();
    assertEquals(List.of(), deployment.world.rules.broken);
  }

  /**
   * The checks can fail: transactions carried out late, whatever they are guarded by, break rules.
   */
  @Test
  void withoutGuardsLateTransactionsBreakRules() {
    Deployment deployment = new Deployment(3_003);
    deployment.world.store.ignoreGuards = true;
    deployment.world.store.lateWrites = 0.5;
    Meeting.CANCELLATIONS_QUESTIONS_AND_REPEATS_MEET_THE_LAST_TASKS_END.play.in(deployment);
    assertTrue(!deployment.world.rules.broken.isEmpty(), "the checks must see the missing guards");
  }

  /** The checks can fail: an answer older than one given before, at another node, is seen. */
  @Test
  void theChecksSeeAnOlderAnswer() {
    Deployment deployment = new Deployment(3_001);
    String uid = deployment.all.get(0).uid();
    deployment.world.rules.toldAnywhere(uid, "aborted", deployment.world.now());
    deployment.world.rules.toldAnywhere(uid, "running", deployment.world.now() - 1);
    assertEquals(List.of(), deployment.world.rules.broken, "asked before");
    deployment.world.rules.toldAnywhere(uid, "running", deployment.world.now());
    assertTrue(deployment.world.rules.broken.stream().anyMatch(b -> b.startsWith("went_back")));
    deployment.world.rules.toldAnywhere(uid, null, deployment.world.now());
    assertTrue(deployment.world.rules.broken.stream().anyMatch(b -> b.startsWith("forgotten")));
  }

  /** The checks can fail: a job that waits although there is room is seen. */
  @Test
  void theChecksSeeAJobThatWaitsBesideRoom() {
    Deployment deployment = new Deployment(3_002);
    deployment.world.play(120);
    deployment.world.calmSince = deployment.world.now();
    JobSpec job =
        new JobSpec(
            deployment.users.nextUid(),
            "c0",
            "blue",
            Urgency.STANDARD,
            1,
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
            5,
            0,
            0,
            JobSpec.NO_DEADLINE);
    deployment.world.rules.submitted.put(job.uid(), job);
    deployment.world.rules.toldAnywhere(job.uid(), "pending", deployment.world.now());
    for (int i = 0; i < 20; i++) {
      deployment.submit("blue", 4, 1, 8, false);
      deployment.world.play(6);
    }
    assertTrue(
        deployment.world.rules.broken.stream()
            .anyMatch(b -> b.startsWith("waiting") && b.contains(job.uid())),
        "" + deployment.world.rules.broken);
  }
}
