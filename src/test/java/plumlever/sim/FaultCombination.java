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
  SLOW_STATE_SERVICE_THEN_A_LONG_OUTAGE(
      d -> {
        d.cluster.store.answerDelayMicros = 700_000;
        d.cluster.at(3_000_000, () -> d.cluster.store.refused.add(d.leaderLabel()));
        d.cluster.at(4_000_000, () -> d.users.cancelStartedJobs(3, 0, 0));
        d.cluster.at(6_000_000, () -> d.cluster.store.outage = true);
        d.cluster.play(8);
        int cancelledJobs = d.countReported("aborted");
        d.cluster.play(FaultDeployment.CANCEL_S + 6);
        d.endFaults();
        return () -> cancelledJobs > 0 && d.cluster.store.refusals.size() == 3;
      }),
  ZONE_WITH_THE_LEADER_CUT_OFF_BEYOND_A_LEASE(
      d -> {
        String isolatedLeader = d.leaderLabel();
        List<String> zone = d.machinesIn("a");
        for (String other : List.of("n0", "n1", "n2", "state", "cloud")) {
          if (!other.equals(isolatedLeader)) {
            d.cluster.network.cut(isolatedLeader, other, true);
          }
        }
        zone.forEach(
            h ->
                d.cluster.controllers.keySet().stream()
                    .filter(n -> !n.equals(isolatedLeader))
                    .forEach(n -> d.cluster.network.cut(n, h, true)));
        d.cluster.at(4_000_000, () -> d.users.cancelStartedJobs(2, 0, 0));
        d.cluster.play(FaultDeployment.LEASE_S + 12);
        boolean anotherLeads = !d.leaderLabel().equals(isolatedLeader);
        d.endFaults();
        return () -> anotherLeads && zone.size() >= 2;
      }),
  FAST_BOOTS_WITH_LATE_WRITES_AND_A_LEADER_CRASH(
      d -> {
        d.cluster.cloud.fastBoots = true;
        d.cluster.cloud.most = 30;
        d.cluster.store.lateWrites = 0.3;
        int before = d.cluster.cloud.machines.size();
        d.submitStream(10, 0.3, 6, 20);
        d.cluster.play(3.5);
        boolean rented = d.cluster.cloud.machines.size() > before;
        d.cluster.leader().crash(4);
        d.cluster.play(25);
        d.endFaults();
        return () -> rented && d.cluster.store.appliedAfterNewer > 0;
      }),
  FOUR_ONE_TASK_JOBS_A_SECOND_WITH_A_QUARTER_CANCELLED(
      d -> {
        int before = d.jobs.size();
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
        d.endFaults();
        return () -> d.jobs.size() - before == 360 && d.countReported("aborted") > 20;
      }),
  ALL_CONTROLLERS_DOWN_BEYOND_A_LEASE(
      d -> {
        d.cluster.controllers.values().forEach(m -> m.crash(FaultDeployment.LEASE_S + 4));
        d.cluster.play(FaultDeployment.LEASE_S + 3);
        boolean nothingRuns =
            d.cluster.controllers.values().stream().noneMatch(m -> m.controller() != null)
                && d.startedJobs(1).stream().noneMatch(d::hasActiveTasks);
        d.cluster.play(10);
        d.endFaults();
        return () -> nothingRuns;
      }),
  DELAYED_COMMANDS_AND_HUNG_MACHINES(
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
        d.submitStream(8, 1, 6, 8);
        d.cluster.at(5_000_000, () -> d.users.cancelStartedJobs(3, 0, 0));
        d.cluster.play(25);
        d.endFaults();
        return () -> d.metric("direct_commands_unanswered") > 0;
      }),
  LEADER_ISOLATED_WITH_WORKERS_WHILE_JOBS_ARE_CANCELLED_ELSEWHERE(
      d -> {
        String cutOff = d.leaderLabel();
        List.of("n0", "n1", "n2", "state").stream()
            .filter(n -> !n.equals(cutOff))
            .forEach(n -> d.cluster.network.cut(cutOff, n, true));
        int reporting = d.cluster.cloud.reportingTo(cutOff);
        d.cluster.play(5);
        String next = d.leaderLabel();
        List<Integer> statusCodes = new ArrayList<>();
        d.startedJobs(3)
            .forEach(uid -> d.users.cancelAt(new Endpoint(next, 1), uid, statusCodes::add));
        d.cluster.play(FaultDeployment.LEASE_S + 10);
        d.endFaults();
        return () -> reporting > 0 && !next.equals(cutOff) && statusCodes.contains(200);
      }),
  HEARTBEATS_LOST_WHILE_DIRECT_COMMANDS_ARRIVE(
      d -> {
        d.machinesIn("a").forEach(d.cluster.network.machinesWithLostHeartbeats::add);
        d.cluster.at(3_000_000, () -> d.users.cancelStartedJobs(2, 0, 0));
        d.submitStream(6, 2, 4, 10);
        d.cluster.at(8_000_000, () -> d.cluster.leader().crash(2));
        d.cluster.play(FaultDeployment.LEASE_S + 15);
        boolean heartbeatsLost = !d.cluster.network.machinesWithLostHeartbeats.isEmpty();
        d.endFaults();
        return () -> heartbeatsLost;
      }),
  UNANSWERED_TRANSACTIONS_WITH_CONCURRENT_QUERIES(
      d -> {
        d.cluster.store.unansweredWrites = 0.4;
        d.users.closeLooks = true;
        d.submitStream(10, 2, 4, 6);
        d.cluster.at(6_000_000, () -> d.users.cancelStartedJobs(3, 0, 0));
        d.cluster.play(40);
        d.endFaults();
        return () -> d.cluster.store.appliedUnanswered > 10 && d.users.looks > 20;
      }),
  ONE_ZONE_JOBS_LOSE_MACHINES(
      d -> {
        for (int i = 0; i < 5; i++) {
          d.submitOneZone(8, 25);
        }
        d.cluster.play(14);
        List<String> lost = d.machinesIn("a").subList(0, d.machinesIn("a").size() / 2);
        lost.forEach(d.cluster.cloud::delete);
        d.cluster.play(4);
        d.cluster.leader().crash(0.2);
        d.cluster.play(20);
        d.endFaults();
        return () -> !lost.isEmpty();
      }),
  TASKS_END_FAR_APART_ACROSS_A_LEADER_CHANGE(
      d -> {
        d.cluster.cloud.most = 3;
        for (int i = 0; i < 8; i++) {
          d.submit("blue", 2 + i % 2, 4, 25, false);
        }
        d.cluster.play(30);
        d.cluster.leader().crash(2);
        d.cluster.play(40);
        int starts = d.cluster.invariants.starts;
        d.endFaults();
        return () -> starts > 8;
      }),
  OLD_HEARTBEATS_REACH_EVERY_CONTROLLER_AT_A_NEW_TERM(
      d -> {
        d.cluster.network.heartbeatShareKeptForNextTerm = 0.3;
        d.submitStream(8, 2, 5, 10);
        d.cluster.play(20);
        d.cluster.leader().crash(1);
        d.cluster.play(15);
        d.cluster.leader().crash(0.2);
        d.cluster.play(20);
        d.endFaults();
        return () -> d.cluster.network.keptHeartbeatsDelivered > 20;
      }),
  JOBS_CANCELLED_DURING_A_LEADER_CHANGE(
      d -> {
        d.cluster.leader().crash(0.15);
        int[] cancelled = new int[1];
        for (int i = 0; i < 5; i++) {
          d.cluster.at(
              200_000 + 900_000L * i,
              () -> cancelled[0] += d.users.cancelStartedJobs(1, 0, 0).size());
        }
        d.cluster.play(8);
        d.endFaults();
        return () -> cancelled[0] >= 3;
      }),
  TWO_LEADER_CHANGES_THEN_ONLY_ONE_CONTROLLER_RESTARTS(
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
        d.endFaults();
        return () -> leads && d.cluster.store.term() >= 3;
      }),
  OVERLOAD_OF_MIXED_PRIORITIES_OVER_SLOW_LINKS(
      d -> {
        d.cluster.cloud.most = 5;
        d.cluster.network.extraCommandDelayMicros = 900_000;
        d.cluster.store.answerDelayMicros = 300_000;
        for (int i = 0; i < 30; i++) {
          Priority priority = Priority.values()[i % 4];
          d.cluster.at(i * 1_500_000L, () -> d.submit("blue", priority, 6, 2, 15, false, false));
        }
        d.cluster.at(20_000_000, () -> d.users.cancelStartedJobs(4, 6, 3));
        d.cluster.play(50);
        boolean full = d.jobs.stream().anyMatch(j -> !d.cluster.invariants.began(j.uid()));
        d.endFaults();
        return () -> full;
      }),
  HEARTBEATS_HELD_UNTIL_A_NEW_LEADER_HAS_ACTED(
      d -> {
        List<String> held = d.machinesIn("b");
        d.cluster
            .controllers
            .keySet()
            .forEach(n -> held.forEach(h -> d.cluster.network.cuts.put(h + ">" + n, true)));
        d.cluster.play(1.5);
        d.cluster.leader().crash(3);
        d.submitStream(5, 1, 4, 10);
        d.cluster.play(12);
        boolean acts = d.cluster.controllers.values().stream().anyMatch(SimulatedController::leads);
        d.endFaults();
        return () -> acts && !held.isEmpty();
      }),
  QUERIES_TO_ALL_CONTROLLERS_WITH_IMMEDIATE_CANCELLATIONS(
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
        d.endFaults();
        return () -> d.users.looks > 100 && d.countReported("aborted") > 3;
      }),
  TEN_LEADER_CHANGES_IN_TWO_MINUTES_WITH_AN_OUTAGE(
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
        d.submitStream(10, 10, 4, 15);
        d.cluster.play(122);
        long records = d.cluster.store.count("fleet/") + d.cluster.store.count("begun/");
        d.endFaults();
        return () -> d.cluster.store.term() - before >= 8 && records < 20;
      }),
  LEADER_CRASH_WHILE_MACHINES_WITH_LONG_TASKS_ARE_UNREACHABLE(
      d -> {
        List<String> zoneMachines = d.machinesIn("a");
        zoneMachines
            .subList(0, zoneMachines.size() / 2)
            .forEach(h -> d.cluster.network.cuts.put("*>" + h, true));
        zoneMachines
            .subList(zoneMachines.size() / 2, zoneMachines.size())
            .forEach(
                h -> {
                  d.cluster.network.cuts.put("*>" + h, true);
                  d.cluster.network.cuts.put(h + ">*", true);
                });
        d.cluster.leader().crash(5);
        d.cluster.at(6_000_000, () -> d.users.cancelStartedJobs(2, 0, 0));
        d.cluster.play(FaultDeployment.LEASE_S + 25);
        d.endFaults();
        return () -> zoneMachines.size() >= 2;
      }),
  TRANSACTIONS_APPLIED_AFTER_NEWER_ONES(
      d -> {
        d.cluster.store.lateWrites = 0.35;
        d.submitStream(14, 2, 5, 6);
        d.cluster.at(10_000_000, () -> d.users.cancelStartedJobs(3, 0, 0));
        d.cluster.at(20_000_000, () -> d.cluster.leader().crash(1));
        d.cluster.play(55);
        d.endFaults();
        return () -> d.cluster.store.appliedAfterNewer > 10;
      }),
  OLD_HEARTBEATS_ARRIVE_AFTER_NEWER_ONES_AND_INCARNATIONS(
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
        d.submitStream(8, 4, 4, 8);
        d.cluster.play(60);
        d.endFaults();
        return () -> d.metric("heartbeat_copies") > 20;
      }),
  TEAM_AT_ITS_LIMIT_WITH_CANCELLATIONS_DURING_A_LEADER_CHANGE(
      d -> {
        d.submitBeyondLimit("red");
        boolean full = d.cluster.invariants.coresOf("red") > FaultDeployment.LIMIT * 0.8;
        String unreachableMachine = d.machineRunning("red");
        d.cluster.network.cuts.put(unreachableMachine + ">*", true);
        d.cluster.network.cuts.put("*>" + unreachableMachine, true);
        d.cluster.leader().crash(3);
        d.cluster.at(1_000_000, () -> d.users.cancelStartedJobs(2, 0, 0));
        d.cluster.play(FaultDeployment.LEASE_S);
        d.endFaults();
        return () -> full;
      }),
  TEAM_AT_ITS_LIMIT_WITH_CANCELLED_JOBS_ON_HUNG_MACHINES(
      d -> {
        d.submitBeyondLimit("red");
        boolean full = d.cluster.invariants.coresOf("red") > FaultDeployment.LIMIT * 0.8;
        int[] cancelled = new int[1];
        d.cluster.at(100_000, () -> cancelled[0] = d.users.cancelStartedJobs(4, 14, 6).size());
        d.cluster.at(400_000, () -> d.cluster.leader().crash(2));
        d.cluster.play(FaultDeployment.LEASE_S + 10);
        d.endFaults();
        return () -> full && cancelled[0] >= 2;
      }),
  CANCELLATIONS_QUERIES_AND_RESUBMISSIONS_AT_JOB_COMPLETION(
      d -> {
        d.users.meetEnds(0.8);
        d.users.closeLooks = true;
        d.submitStream(25, 1.2, 2, 5);
        d.cluster.play(60);
        d.endFaults();
        return () ->
            d.countReported("aborted") > 0 && d.countReported("done") > 0 && d.users.looks > 50;
      }),
  MISTAKEN_REQUESTS_DURING_A_LEADER_CHANGE(
      d -> {
        int[] sent = new int[1];
        for (int i = 0; i < 8; i++) {
          d.cluster.at(i * 4_000_000L, () -> sent[0] += d.users.sendMistakenRequests());
        }
        d.submitStream(5, 3, 2, 5);
        d.cluster.at(10_000_000, () -> d.cluster.leader().crash(1));
        d.cluster.play(40);
        d.endFaults();
        return () -> sent[0] > 30;
      });

  /** Injects the faults of one combination. */
  interface Scenario {
    /**
     * Injects the faults and runs the deployment until all jobs should be served.
     *
     * @return whether the faults took effect at the same time, evaluated after the run
     */
    BooleanSupplier run(FaultDeployment deployment);
  }

  final Scenario scenario;

  FaultCombination(Scenario play) {
    this.scenario = play;
  }
}
