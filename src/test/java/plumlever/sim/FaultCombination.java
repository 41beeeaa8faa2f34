package plumlever.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import plumlever.settings.Endpoint;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * Combinations of two simultaneous faults from the operators' list. Each combination returns a
 * condition which shows that both faults took effect.
 */
enum FaultCombination {
  SLOW_ANSWERS_THEN_A_LONG_OUTAGE(
      d -> {
        d.cluster.store.slowMicros = 700_000;
        d.cluster.at(3_000_000, () -> d.cluster.store.refused.add(d.leaderLabel()));
        d.cluster.at(4_000_000, () -> d.users.cancelNow(3, 0, 0));
        d.cluster.at(6_000_000, () -> d.cluster.store.outage = true);
        d.cluster.play(8);
        int told = d.told("aborted");
        d.cluster.play(FaultDeployment.CANCEL_S + 6);
        d.endOfTrouble();
        return () -> told > 0 && d.cluster.store.refusals.size() == 3;
      }),
  A_ZONE_WITH_A_CONTROLLER_IS_CUT_OFF_FOR_OVER_A_LEASE(
      d -> {
        String inside = d.leaderLabel();
        List<String> zone = d.machinesIn("a");
        for (String other : List.of("n0", "n1", "n2", "state", "cloud")) {
          if (!other.equals(inside)) {
            d.cluster.network.cut(inside, other, true);
          }
        }
        zone.forEach(
            h ->
                d.cluster.controllers.keySet().stream()
                    .filter(n -> !n.equals(inside))
                    .forEach(n -> d.cluster.network.cut(n, h, true)));
        d.cluster.at(4_000_000, () -> d.users.cancelNow(2, 0, 0));
        d.cluster.play(FaultDeployment.LEASE_S + 12);
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
        d.cluster.controllers.values().forEach(m -> m.crash(FaultDeployment.LEASE_S + 4));
        d.cluster.play(FaultDeployment.LEASE_S + 3);
        boolean nobody =
            d.cluster.controllers.values().stream().noneMatch(m -> m.controller() != null)
                && d.running(1).stream().noneMatch(d::isOn);
        d.cluster.play(10);
        d.endOfTrouble();
        return () -> nobody;
      }),
  COMMANDS_ARE_HELD_UP_FOR_SECONDS_BY_MACHINES_THAT_GO_ON(
      d -> {
        d.cluster.network.extraCommandDelayMicros = 3_000_000;
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
        String cutOff = d.leaderLabel();
        List.of("n0", "n1", "n2", "state").stream()
            .filter(n -> !n.equals(cutOff))
            .forEach(n -> d.cluster.network.cut(cutOff, n, true));
        int reporting = d.cluster.cloud.reportingTo(cutOff);
        d.cluster.play(5);
        String next = d.leaderLabel();
        List<Integer> told = new ArrayList<>();
        d.running(3).forEach(uid -> d.users.cancelAt(new Endpoint(next, 1), uid, told::add));
        d.cluster.play(FaultDeployment.LEASE_S + 10);
        d.endOfTrouble();
        return () -> reporting > 0 && !next.equals(cutOff) && told.contains(200);
      }),
  WORKERS_REACH_NO_CONTROLLER_WHILE_COMMANDS_REACH_THEM(
      d -> {
        d.machinesIn("a").forEach(d.cluster.network.machinesWithoutControllers::add);
        d.cluster.at(3_000_000, () -> d.users.cancelNow(2, 0, 0));
        d.stream(6, 2, 4, 10);
        d.cluster.at(8_000_000, () -> d.cluster.leader().crash(2));
        d.cluster.play(FaultDeployment.LEASE_S + 15);
        boolean muted = !d.cluster.network.machinesWithoutControllers.isEmpty();
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
        d.cluster.network.heartbeatShareKeptForNextLeader = 0.3;
        d.stream(8, 2, 5, 10);
        d.cluster.play(20);
        d.cluster.leader().crash(1);
        d.cluster.play(15);
        d.cluster.leader().crash(0.2);
        d.cluster.play(20);
        d.endOfTrouble();
        return () -> d.cluster.network.copiesSentToNewLeaders > 20;
      }),
  JOBS_ARE_CANCELLED_WHILE_WORK_CHANGES_HANDS(
      d -> {
        d.cluster.leader().crash(0.15);
        int[] asked = new int[1];
        for (int i = 0; i < 5; i++) {
          d.cluster.at(200_000 + 900_000L * i, () -> asked[0] += d.users.cancelNow(1, 0, 0).size());
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
        d.cluster.controllers.values().forEach(SimulatedController::kill);
        d.cluster.at(500_000, () -> d.cluster.controllers.get(first).start());
        d.cluster.at(900_000, () -> d.cluster.controllers.get(first).crash(0.1));
        d.cluster.play(12);
        boolean leads = d.leaderLabel().equals(first);
        d.cluster
            .controllers
            .values()
            .forEach(
                m -> {
                  if (m.controller() == null) {
                    m.start();
                  }
                });
        d.endOfTrouble();
        return () -> leads && d.cluster.store.term() >= 3;
      }),
  MORE_WORK_THAN_ROOM_URGENT_AND_NOT_OVER_SLOW_LINKS(
      d -> {
        d.cluster.cloud.most = 5;
        d.cluster.network.extraCommandDelayMicros = 900_000;
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
            .controllers
            .keySet()
            .forEach(n -> held.forEach(h -> d.cluster.network.cuts.put(h + ">" + n, true)));
        d.cluster.play(1.5);
        d.cluster.leader().crash(3);
        d.stream(5, 1, 4, 10);
        d.cluster.play(12);
        boolean acts = d.cluster.controllers.values().stream().anyMatch(SimulatedController::leads);
        d.endOfTrouble();
        return () -> acts && !held.isEmpty();
      }),
  USERS_LOOK_CLOSELY_AND_SOME_CANCEL_AT_ONCE(
      d -> {
        d.users.closeLooks = true;
        d.cluster.network.lostAnswerShare = 0.05;
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
                  d.cluster.controllers.values().stream()
                      .filter(SimulatedController::leads)
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
        far.subList(0, far.size() / 2).forEach(h -> d.cluster.network.cuts.put("*>" + h, true));
        far.subList(far.size() / 2, far.size())
            .forEach(
                h -> {
                  d.cluster.network.cuts.put("*>" + h, true);
                  d.cluster.network.cuts.put(h + ">*", true);
                });
        d.cluster.leader().crash(5);
        d.cluster.at(6_000_000, () -> d.users.cancelNow(2, 0, 0));
        d.cluster.play(FaultDeployment.LEASE_S + 25);
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
        d.cluster.network.copiedHeartbeatShare = 0.6;
        d.machinesIn("a").stream()
            .limit(2)
            .forEach(
                h -> {
                  d.cluster.network.cuts.put(h + ">*", true);
                  d.cluster.network.cuts.put("*>" + h, true);
                  d.cluster.at(
                      (long) ((FaultDeployment.LEASE_S + 5) * 1e6),
                      () -> {
                        d.cluster.network.cuts.remove(h + ">*");
                        d.cluster.network.cuts.remove("*>" + h);
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
        boolean full = d.cluster.invariants.coresOf("red") > FaultDeployment.LIMIT * 0.8;
        String hidden = d.busy("red");
        d.cluster.network.cuts.put(hidden + ">*", true);
        d.cluster.network.cuts.put("*>" + hidden, true);
        d.cluster.leader().crash(3);
        d.cluster.at(1_000_000, () -> d.users.cancelNow(2, 0, 0));
        d.cluster.play(FaultDeployment.LEASE_S);
        d.endOfTrouble();
        return () -> full;
      }),
  EVERY_TEAM_AT_ITS_LIMIT_AND_CANCELLED_JOBS_ON_HUNG_MACHINES(
      d -> {
        d.fill("red");
        boolean full = d.cluster.invariants.coresOf("red") > FaultDeployment.LIMIT * 0.8;
        int[] called = new int[1];
        d.cluster.at(100_000, () -> called[0] = d.users.cancelNow(4, 14, 6).size());
        d.cluster.at(400_000, () -> d.cluster.leader().crash(2));
        d.cluster.play(FaultDeployment.LEASE_S + 10);
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

  /** Injects the faults of one combination. */
  interface Play {
    /**
     * Injects the faults and runs the deployment until all jobs should be served.
     *
     * @return whether the faults took effect at the same time, evaluated after the run
     */
    BooleanSupplier in(FaultDeployment deployment);
  }

  final Play play;

  FaultCombination(Play play) {
    this.play = play;
  }
}
