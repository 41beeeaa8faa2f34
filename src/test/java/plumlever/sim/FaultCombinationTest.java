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
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * Two troubles at a time, as the operators' list names them. Each test brings its meeting about,
 * shows that it took place, and then that no rule broke and everybody was served. The longest of
 * them, the gap, has a test of its own ({@link GapTest}).
 */
final class FaultCombinationTest {
  private static final double CANCEL_S = InvariantChecker.CANCEL_MICROS / 1e6;
  private static final double LEASE_S = FakeWorker.LEASE_MICROS / 1e6;

  /** A meeting, with what shows that it took place. */
  enum FaultCombination {
    SLOW_ANSWERS_THEN_A_LONG_OUTAGE(
        d -> {
          d.cluster.store.slowMicros = 700_000;
          d.cluster.at(3_000_000, () -> d.cluster.store.refused.add(d.leaderLabel()));
          d.cluster.at(4_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.cluster.at(6_000_000, () -> d.cluster.store.outage = true);
          d.cluster.play(8);
          int told = d.told("aborted");
          d.cluster.play(CANCEL_S + 6);
          d.endOfTrouble();
          return () -> told > 0 && d.cluster.store.refusals.size() == 3;
        }),
    A_ZONE_WITH_A_CONTROLLER_IS_CUT_OFF_FOR_OVER_A_LEASE(
        d -> {
          String inside = d.leaderLabel();
          List<String> zone = d.machinesIn("a");
          for (String other : List.of("n0", "n1", "n2", "state", "cloud")) {
            if (!other.equals(inside)) {
              d.cluster.cut(inside, other, true);
            }
          }
          zone.forEach(
              h ->
                  d.cluster.members.keySet().stream()
                      .filter(n -> !n.equals(inside))
                      .forEach(n -> d.cluster.cut(n, h, true)));
          d.cluster.at(4_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.cluster.play(LEASE_S + 12);
          boolean anotherLeads = !d.leaderLabel().equals(inside);
          d.endOfTrouble();
          return () -> anotherLeads && zone.size() >= 2;
        }),
    NEW_MACHINES_AT_ONCE_WHILE_WRITES_LAG_AND_THE_LEADER_ENDS(
        d -> {
          d.cluster.cloud.bootsAtOnce = true;
          d.cluster.cloud.most = 30;
          d.cluster.store.lateWrites = 0.3;
          int before = d.cluster.cloud.machines.size();
          d.stream(10, 0.3, 6, 20);
          d.cluster.play(3.5);
          boolean rented = d.cluster.cloud.machines.size() > before;
          d.cluster.leader().crash(4);
          d.cluster.play(25);
          d.endOfTrouble();
          return () -> rented && d.cluster.store.carriedOutAfterNewer > 0;
        }),
    ONE_TASK_JOBS_FOUR_A_SECOND_A_QUARTER_CANCELLED(
        d -> {
          int before = d.all.size();
          for (int i = 0; i < 360; i++) {
            boolean cancel = i % 4 == 0;
            d.cluster.at(
                i * 250_000L,
                () -> {
                  JobSpec job = d.submit("blue", 1, 1, 6, false);
                  if (cancel) {
                    d.cluster.at(
                        100_000 + d.cluster.random.nextLong(3_000_000),
                        () -> d.users.cancelOnceAccepted(job.uid()));
                  }
                });
          }
          d.cluster.at(40_000_000, () -> d.cluster.leader().crash(0.3));
          d.cluster.play(95);
          d.endOfTrouble();
          return () -> d.all.size() - before == 360 && d.told("aborted") > 20;
        }),
    ALL_CONTROLLERS_ARE_AWAY_FOR_OVER_A_LEASE(
        d -> {
          d.cluster.members.values().forEach(m -> m.crash(LEASE_S + 4));
          d.cluster.play(LEASE_S + 3);
          boolean nobody =
              d.cluster.members.values().stream().noneMatch(m -> m.node() != null)
                  && d.running(1).stream().noneMatch(d::isOn);
          d.cluster.play(10);
          d.endOfTrouble();
          return () -> nobody;
        }),
    COMMANDS_ARE_HELD_UP_FOR_SECONDS_BY_MACHINES_THAT_GO_ON(
        d -> {
          d.cluster.slowCommandsMicros = 3_000_000;
          d.cluster.cloud.machines.values().stream()
              .filter(v -> v.worker != null)
              .limit(4)
              .forEach(
                  v -> {
                    v.worker.hung = true;
                    d.cluster.at(12_000_000, () -> v.worker.hung = false);
                  });
          d.stream(8, 1, 6, 8);
          d.cluster.at(5_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.cluster.play(25);
          d.endOfTrouble();
          return () -> d.metric("direct_commands_unanswered") > 0;
        }),
    A_LEADER_WITH_ITS_WORKERS_ONLY_WHILE_JOBS_ARE_CANCELLED_ELSEWHERE(
        d -> {
          String isRefusedAlone = d.leaderLabel();
          List.of("n0", "n1", "n2", "state").stream()
              .filter(n -> !n.equals(isRefusedAlone))
              .forEach(n -> d.cluster.cut(isRefusedAlone, n, true));
          int reporting = d.cluster.cloud.reportingTo(isRefusedAlone);
          d.cluster.play(5);
          String next = d.leaderLabel();
          List<Integer> told = new ArrayList<>();
          d.running(3).forEach(uid -> d.users.cancelAt(new Endpoint(next, 1), uid, told::add));
          d.cluster.play(LEASE_S + 10);
          d.endOfTrouble();
          return () -> reporting > 0 && !next.equals(isRefusedAlone) && told.contains(200);
        }),
    WORKERS_REACH_NO_CONTROLLER_WHILE_COMMANDS_REACH_THEM(
        d -> {
          d.machinesIn("a").forEach(d.cluster.mute::add);
          d.cluster.at(3_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.stream(6, 2, 4, 10);
          d.cluster.at(8_000_000, () -> d.cluster.leader().crash(2));
          d.cluster.play(LEASE_S + 15);
          boolean muted = !d.cluster.mute.isEmpty();
          d.endOfTrouble();
          return () -> muted;
        }),
    TRANSACTIONS_APPLIED_WITHOUT_AN_ANSWER_WHILE_OTHERS_READ(
        d -> {
          d.cluster.store.unansweredWrites = 0.4;
          d.users.closeLooks = true;
          d.stream(10, 2, 4, 6);
          d.cluster.at(6_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.cluster.play(40);
          d.endOfTrouble();
          return () -> d.cluster.store.appliedUnanswered > 10 && d.users.looks > 20;
        }),
    JOBS_BOUND_TO_ONE_ZONE_LOSE_MACHINES(
        d -> {
          for (int i = 0; i < 5; i++) {
            d.oneZone(8, 25);
          }
          d.cluster.play(14);
          List<String> lost = d.machinesIn("a").subList(0, d.machinesIn("a").size() / 2);
          lost.forEach(d.cluster.cloud::delete);
          d.cluster.play(4);
          d.cluster.leader().crash(0.2);
          d.cluster.play(20);
          d.endOfTrouble();
          return () -> !lost.isEmpty();
        }),
    TASKS_END_FAR_APART_ACROSS_A_CHANGE_OF_LEADER(
        d -> {
          d.cluster.cloud.most = 3;
          for (int i = 0; i < 8; i++) {
            d.submit("blue", 2 + i % 2, 4, 25, false);
          }
          d.cluster.play(30);
          d.cluster.leader().crash(2);
          d.cluster.play(40);
          int spread = d.cluster.invariants.starts;
          d.endOfTrouble();
          return () -> spread > 8;
        }),
    AN_OLD_HEARTBEAT_REACHES_EVERY_CONTROLLER_AS_A_LEADER_BEGINS(
        d -> {
          d.cluster.copyHeartbeatsForNext = 0.3;
          d.stream(8, 2, 5, 10);
          d.cluster.play(20);
          d.cluster.leader().crash(1);
          d.cluster.play(15);
          d.cluster.leader().crash(0.2);
          d.cluster.play(20);
          d.endOfTrouble();
          return () -> d.cluster.copiesAtNext > 20;
        }),
    JOBS_ARE_CANCELLED_WHILE_WORK_CHANGES_HANDS(
        d -> {
          d.cluster.leader().crash(0.15);
          int[] asked = new int[1];
          for (int i = 0; i < 5; i++) {
            d.cluster.at(
                200_000 + 900_000L * i, () -> asked[0] += d.users.cancelNow(1, 0, 0).size());
          }
          d.cluster.play(8);
          d.endOfTrouble();
          return () -> asked[0] >= 3;
        }),
    CONTROLLERS_HAND_OVER_AND_BACK_ALL_END_AND_ONE_RETURNS(
        d -> {
          String first = d.leaderLabel();
          d.cluster.leader().crash(0.4);
          d.cluster.play(6);
          d.cluster.leader().crash(0.4);
          d.cluster.play(6);
          d.cluster.members.values().forEach(SimulatedCluster.Member::kill);
          d.cluster.at(500_000, () -> d.cluster.members.get(first).start());
          d.cluster.at(900_000, () -> d.cluster.members.get(first).crash(0.1));
          d.cluster.play(12);
          boolean leads = d.leaderLabel().equals(first);
          d.cluster
              .members
              .values()
              .forEach(
                  m -> {
                    if (m.node() == null) {
                      m.start();
                    }
                  });
          d.endOfTrouble();
          return () -> leads && d.cluster.store.term() >= 3;
        }),
    MORE_WORK_THAN_ROOM_URGENT_AND_NOT_OVER_SLOW_LINKS(
        d -> {
          d.cluster.cloud.most = 5;
          d.cluster.slowCommandsMicros = 900_000;
          d.cluster.store.slowMicros = 300_000;
          for (int i = 0; i < 30; i++) {
            Priority priority = Priority.values()[i % 4];
            d.cluster.at(i * 1_500_000L, () -> d.submit("blue", priority, 6, 2, 15, false, false));
          }
          d.cluster.at(20_000_000, () -> d.users.cancelNow(4, 6, 3));
          d.cluster.play(50);
          boolean full = d.all.stream().anyMatch(j -> !d.cluster.invariants.began(j.uid()));
          d.endOfTrouble();
          return () -> full;
        }),
    A_HEARTBEAT_IS_HELD_BACK_UNTIL_A_NEW_LEADER_HAS_ACTED(
        d -> {
          List<String> held = d.machinesIn("b");
          d.cluster
              .members
              .keySet()
              .forEach(n -> held.forEach(h -> d.cluster.cuts.put(h + ">" + n, true)));
          d.cluster.play(1.5);
          d.cluster.leader().crash(3);
          d.stream(5, 1, 4, 10);
          d.cluster.play(12);
          boolean acts =
              d.cluster.members.values().stream().anyMatch(SimulatedCluster.Member::leads);
          d.endOfTrouble();
          return () -> acts && !held.isEmpty();
        }),
    USERS_LOOK_CLOSELY_AND_SOME_CANCEL_AT_ONCE(
        d -> {
          d.users.closeLooks = true;
          d.cluster.loseAnswer = 0.05;
          for (int i = 0; i < 20; i++) {
            boolean cancel = i % 3 == 0;
            d.cluster.at(
                i * 1_500_000L,
                () -> {
                  JobSpec job = d.submit("blue", 2, 1, 4, false);
                  if (cancel) {
                    d.cluster.at(30_000, () -> d.users.cancelOnceAccepted(job.uid()));
                  }
                });
          }
          d.cluster.at(12_000_000, () -> d.cluster.leader().crash(0.2));
          d.cluster.play(45);
          d.endOfTrouble();
          return () -> d.users.looks > 100 && d.told("aborted") > 3;
        }),
    LEADERS_CHANGE_TEN_TIMES_IN_TWO_MINUTES_ALSO_INSIDE_AN_OUTAGE(
        d -> {
          long before = d.cluster.store.term();
          for (int i = 0; i < 11; i++) {
            d.cluster.at(
                i * 10_500_000L,
                () ->
                    d.cluster.members.values().stream()
                        .filter(SimulatedCluster.Member::leads)
                        .findFirst()
                        .ifPresent(m -> m.crash(0.3)));
          }
          d.cluster.at(50_000_000, () -> d.cluster.store.outage = true);
          d.cluster.at(62_000_000, d.cluster.store::endOutage);
          d.stream(10, 10, 4, 15);
          d.cluster.play(122);
          long records = d.cluster.store.count("fleet/") + d.cluster.store.count("begun/");
          d.endOfTrouble();
          return () -> d.cluster.store.term() - before >= 8 && records < 20;
        }),
    A_LEADER_ENDS_WHILE_MACHINES_WITH_LONG_TASKS_DO_NOT_HEAR(
        d -> {
          List<String> far = d.machinesIn("a");
          far.subList(0, far.size() / 2).forEach(h -> d.cluster.cuts.put("*>" + h, true));
          far.subList(far.size() / 2, far.size())
              .forEach(
                  h -> {
                    d.cluster.cuts.put("*>" + h, true);
                    d.cluster.cuts.put(h + ">*", true);
                  });
          d.cluster.leader().crash(5);
          d.cluster.at(6_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.cluster.play(LEASE_S + 25);
          d.endOfTrouble();
          return () -> far.size() >= 2;
        }),
    A_TRANSACTION_IS_CARRIED_OUT_AFTER_NEWER_ONES(
        d -> {
          d.cluster.store.lateWrites = 0.35;
          d.stream(14, 2, 5, 6);
          d.cluster.at(10_000_000, () -> d.users.cancelNow(3, 0, 0));
          d.cluster.at(20_000_000, () -> d.cluster.leader().crash(1));
          d.cluster.play(55);
          d.endOfTrouble();
          return () -> d.cluster.store.carriedOutAfterNewer > 10;
        }),
    AN_OLD_HEARTBEAT_ARRIVES_AFTER_NEWER_ONES_ALSO_OF_EARLIER_INCARNATIONS(
        d -> {
          d.cluster.copyHeartbeats = 0.6;
          d.machinesIn("a").stream()
              .limit(2)
              .forEach(
                  h -> {
                    d.cluster.cuts.put(h + ">*", true);
                    d.cluster.cuts.put("*>" + h, true);
                    d.cluster.at(
                        (long) ((LEASE_S + 5) * 1e6),
                        () -> {
                          d.cluster.cuts.remove(h + ">*");
                          d.cluster.cuts.remove("*>" + h);
                        });
                  });
          d.stream(8, 4, 4, 8);
          d.cluster.play(60);
          d.endOfTrouble();
          return () -> d.metric("heartbeat_copies") > 20;
        }),
    A_TEAM_AT_ITS_LIMIT_AND_A_CANCELLATION_AT_A_CHANGE_OF_LEADER(
        d -> {
          d.fill("red");
          boolean full = d.cluster.invariants.coresOf("red") > Deployment.LIMIT * 0.8;
          String hidden = d.busy("red");
          d.cluster.cuts.put(hidden + ">*", true);
          d.cluster.cuts.put("*>" + hidden, true);
          d.cluster.leader().crash(3);
          d.cluster.at(1_000_000, () -> d.users.cancelNow(2, 0, 0));
          d.cluster.play(LEASE_S);
          d.endOfTrouble();
          return () -> full;
        }),
    EVERY_TEAM_AT_ITS_LIMIT_AND_CANCELLED_JOBS_ON_HUNG_MACHINES(
        d -> {
          d.fill("red");
          boolean full = d.cluster.invariants.coresOf("red") > Deployment.LIMIT * 0.8;
          int[] called = new int[1];
          d.cluster.at(100_000, () -> called[0] = d.users.cancelNow(4, 14, 6).size());
          d.cluster.at(400_000, () -> d.cluster.leader().crash(2));
          d.cluster.play(LEASE_S + 10);
          d.endOfTrouble();
          return () -> full && called[0] >= 2;
        }),
    CANCELLATIONS_QUESTIONS_AND_REPEATS_MEET_THE_LAST_TASKS_END(
        d -> {
          d.users.meetEnds(0.8);
          d.users.closeLooks = true;
          d.stream(25, 1.2, 2, 5);
          d.cluster.play(60);
          d.endOfTrouble();
          return () -> d.told("aborted") > 0 && d.told("done") > 0 && d.users.looks > 50;
        }),
    ODD_REQUESTS_THROUGH_A_CHANGE_OF_LEADER(
        d -> {
          int[] sent = new int[1];
          for (int i = 0; i < 8; i++) {
            d.cluster.at(i * 4_000_000L, () -> sent[0] += d.users.oddRequests());
          }
          d.stream(5, 3, 2, 5);
          d.cluster.at(10_000_000, () -> d.cluster.leader().crash(1));
          d.cluster.play(40);
          d.endOfTrouble();
          return () -> sent[0] > 30;
        });

    /** What happens in one combination. */
    interface Play {
      /** Brings the meeting about; tells whether it took place. */
      BooleanSupplier in(Deployment deployment);
    }

    final Play play;

    FaultCombination(Play play) {
      this.play = play;
    }
  }

  /** A small deployment with work, some of it long, when the meeting begins. */
  static final class Deployment {
    static final double LIMIT = 48;
    final SimulatedCluster cluster;
    final FakeUsers users;
    final List<JobSpec> all = new ArrayList<>();

    Deployment(long seed) {
      cluster =
          new SimulatedCluster(
              seed,
              3,
              List.of(
                  new PlatformConfiguration.Team("red", 16, LIMIT, 0, 0),
                  new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
              seed % 2 == 0);
      users = new FakeUsers(cluster);
      for (int i = 0; i < 8; i++) {
        submit("blue", 5, 2, 30 + 20 * (i % 4), false);
      }
      cluster.play(45);
      assertTrue(cluster.invariants.starts >= 20, "tasks run: " + cluster.invariants.starts);
    }

    JobSpec submit(String team, int taskCount, double cores, double runS, boolean cancel) {
      return submit(team, Priority.STANDARD, taskCount, cores, runS, false, cancel);
    }

    JobSpec submit(
        String team,
        Priority priority,
        int taskCount,
        double cores,
        double runS,
        boolean oneZone,
        boolean cancel) {
      JobSpec job =
          new JobSpec(
              users.nextUid(),
              "c" + priority.ordinal() % 2,
              team,
              priority,
              taskCount,
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

    void oneZone(int taskCount, double runS) {
      submit("blue", Priority.STANDARD, taskCount, 2, runS, true, false);
    }

    /** Jobs that go on coming. */
    void stream(int jobs, double everyS, int taskCount, double runS) {
      for (int i = 0; i < jobs; i++) {
        cluster.at((long) (i * everyS * 1e6), () -> submit("blue", taskCount, 1, runS, false));
      }
    }

    /** Brings a team to its limit, with more of its work waiting. */
    void fill(String team) {
      for (int i = 0; i < 6; i++) {
        submit(team, 12, 2, 40, false);
      }
      cluster.play(40);
    }

    String leaderLabel() {
      return cluster.leader().platform.label();
    }

    List<String> machinesIn(String zone) {
      return cluster.cloud.machines.values().stream()
          .filter(v -> v.zone.equals(zone) && v.worker != null)
          .map(v -> v.id)
          .toList();
    }

    String busy(String team) {
      return cluster.cloud.machines.values().stream()
          .filter(
              v ->
                  v.worker != null
                      && v.worker.tasks.values().stream()
                          .anyMatch(
                              t ->
                                  t.on()
                                      && cluster
                                          .invariants
                                          .submitted
                                          .get(t.name.substring(0, t.name.indexOf('/')))
                                          .team()
                                          .equals(team)))
          .map(v -> v.id)
          .findFirst()
          .orElseThrow();
    }

    List<String> running(int most) {
      return all.stream()
          .map(JobSpec::uid)
          .filter(u -> cluster.invariants.began(u) && !cluster.invariants.allDone(u))
          .limit(most)
          .toList();
    }

    boolean isOn(String uid) {
      return cluster.cloud.machines.values().stream()
          .filter(v -> v.worker != null)
          .flatMap(v -> v.worker.tasks.values().stream())
          .anyMatch(t -> t.on() && t.name.startsWith(uid + "/"));
    }

    int told(String status) {
      return (int) cluster.invariants.lastTold.values().stream().filter(status::equals).count();
    }

    long metric(String name) {
      return cluster.members.values().stream()
          .filter(m -> m.node() != null)
          .mapToLong(m -> m.node().metrics().counter(name))
          .sum();
    }

    /** From here on everything works, and everybody must be served. */
    void endOfTrouble() {
      cluster.loseAnswer = 0;
      cluster.executeLate = 0;
      cluster.copyHeartbeats = 0;
      cluster.copyHeartbeatsForNext = 0;
      cluster.slowCommandsMicros = 0;
      cluster.mute.clear();
      cluster.cuts.clear();
      cluster.store.slowMicros = 0;
      cluster.store.lateWrites = 0;
      cluster.store.unansweredWrites = 0;
      cluster.store.refused.clear();
      cluster.store.endOutage();
      cluster.cloud.machines.values().stream()
          .filter(v -> v.worker != null)
          .forEach(v -> v.worker.hung = false);
      cluster.cloud.most = Math.max(cluster.cloud.most, 14);
      cluster.calmSince = cluster.now();
      cluster.play(260);
    }
  }

  @ParameterizedTest
  @EnumSource(FaultCombination.class)
  void noRuleBreaks(FaultCombination meeting) {
    Deployment deployment = new Deployment(900 + meeting.ordinal());
    BooleanSupplier tookPlace = meeting.play.in(deployment);
    deployment.cluster.invariants.checkServed();
    assertEquals(List.of(), deployment.cluster.invariants.broken);
    assertTrue(tookPlace.getAsBoolean(), "the meeting took place");
    List<String> open = new ArrayList<>();
    for (JobSpec job : deployment.all) {
      String told = deployment.cluster.invariants.lastTold.get(job.uid());
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
      FaultCombination meeting =
          FaultCombination.values()[
              deployment.cluster.random.nextInt(FaultCombination.values().length)];
      meeting.play.in(deployment);
      // Calm is over with the next.
      deployment.cluster.calmSince = Long.MAX_VALUE;
    }
    deployment.endOfTrouble();
    deployment.cluster.invariants.checkServed();
    assertEquals(List.of(), deployment.cluster.invariants.broken);
  }

  /**
   * The checks can fail: transactions carried out late, whatever they are guarded by, break rules.
   */
  @Test
  void withoutPreconditionsLateTransactionsBreakRules() {
    Deployment deployment = new Deployment(3_003);
    deployment.cluster.store.ignorePreconditions = true;
    deployment.cluster.store.lateWrites = 0.5;
    FaultCombination.CANCELLATIONS_QUESTIONS_AND_REPEATS_MEET_THE_LAST_TASKS_END.play.in(
        deployment);
    assertTrue(
        !deployment.cluster.invariants.broken.isEmpty(), "the checks must see the missing guards");
  }

  /** The checks can fail: an answer older than one given before, at another controller, is seen. */
  @Test
  void theChecksSeeAnOlderAnswer() {
    Deployment deployment = new Deployment(3_001);
    String uid = deployment.all.get(0).uid();
    deployment.cluster.invariants.toldAnywhere(uid, "aborted", deployment.cluster.now());
    deployment.cluster.invariants.toldAnywhere(uid, "running", deployment.cluster.now() - 1);
    assertEquals(List.of(), deployment.cluster.invariants.broken, "asked before");
    deployment.cluster.invariants.toldAnywhere(uid, "running", deployment.cluster.now());
    assertTrue(
        deployment.cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("went_back")));
    deployment.cluster.invariants.toldAnywhere(uid, null, deployment.cluster.now());
    assertTrue(
        deployment.cluster.invariants.broken.stream().anyMatch(b -> b.startsWith("forgotten")));
  }

  /** The checks can fail: a job that waits although there is room is seen. */
  @Test
  void theChecksSeeAJobThatWaitsBesideFreeCapacity() {
    Deployment deployment = new Deployment(3_002);
    deployment.cluster.play(120);
    deployment.cluster.calmSince = deployment.cluster.now();
    JobSpec job =
        new JobSpec(
            deployment.users.nextUid(),
            "c0",
            "blue",
            Priority.STANDARD,
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
    deployment.cluster.invariants.submitted.put(job.uid(), job);
    deployment.cluster.invariants.toldAnywhere(job.uid(), "pending", deployment.cluster.now());
    for (int i = 0; i < 20; i++) {
      deployment.submit("blue", 4, 1, 8, false);
      deployment.cluster.play(6);
    }
    assertTrue(
        deployment.cluster.invariants.broken.stream()
            .anyMatch(b -> b.startsWith("waiting") && b.contains(job.uid())),
        "" + deployment.cluster.invariants.broken);
  }
}
