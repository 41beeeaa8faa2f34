package plumlever.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import plumlever.settings.Endpoint;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * Combinations of two simultaneous faults, chosen from the list of faults that operators have
 * named. The scenario of each combination returns a condition that is true if both faults took
 * effect.
 */
enum FaultCombination {
  SLOW_STATE_SERVICE_THEN_A_LONG_OUTAGE(
      deployment -> {
        deployment.cluster.store.responseDelayMicros = 700_000;
        deployment.cluster.at(
            3_000_000,
            () -> deployment.cluster.store.refusedControllers.add(deployment.leaderLabel()));
        deployment.cluster.at(4_000_000, () -> deployment.users.cancelStartedJobs(3, 0, 0));
        deployment.cluster.at(6_000_000, () -> deployment.cluster.store.outage = true);
        deployment.cluster.runFor(8);
        int cancelledJobs = deployment.countReported("aborted");
        deployment.cluster.runFor(FaultDeployment.CANCEL_S + 6);
        deployment.endFaults();
        return () -> cancelledJobs > 0 && deployment.cluster.store.refusals.size() == 3;
      }),
  ZONE_WITH_THE_LEADER_CUT_OFF_BEYOND_A_LEASE(
      deployment -> {
        String isolatedLeader = deployment.leaderLabel();
        List<String> zone = deployment.machinesIn("a");
        for (String other : List.of("n0", "n1", "n2", "state", "cloud")) {
          if (!other.equals(isolatedLeader)) {
            deployment.cluster.network.setBlocked(isolatedLeader, other, true);
          }
        }
        zone.forEach(
            machineId ->
                deployment.cluster.controllers.keySet().stream()
                    .filter(label -> !label.equals(isolatedLeader))
                    .forEach(
                        label -> deployment.cluster.network.setBlocked(label, machineId, true)));
        deployment.cluster.at(4_000_000, () -> deployment.users.cancelStartedJobs(2, 0, 0));
        deployment.cluster.runFor(FaultDeployment.LEASE_S + 12);
        boolean anotherLeads = !deployment.leaderLabel().equals(isolatedLeader);
        deployment.endFaults();
        return () -> anotherLeads && zone.size() >= 2;
      }),
  FAST_BOOTS_WITH_LATE_WRITES_AND_A_LEADER_CRASH(
      deployment -> {
        deployment.cluster.cloud.fastBoots = true;
        deployment.cluster.cloud.capacity = 30;
        deployment.cluster.store.lateWriteShare = 0.3;
        int before = deployment.cluster.cloud.machines.size();
        deployment.submitStream(10, 0.3, 6, 20);
        deployment.cluster.runFor(3.5);
        boolean rented = deployment.cluster.cloud.machines.size() > before;
        deployment.cluster.leader().crash(4);
        deployment.cluster.runFor(25);
        deployment.endFaults();
        return () -> rented && deployment.cluster.store.appliedAfterNewer > 0;
      }),
  FOUR_ONE_TASK_JOBS_A_SECOND_WITH_A_QUARTER_CANCELLED(
      deployment -> {
        int before = deployment.jobs.size();
        for (int i = 0; i < 360; i++) {
          boolean cancel = i % 4 == 0;
          deployment.cluster.at(
              i * 250_000L,
              () -> {
                JobSpec job = deployment.submit("blue", 1, 1, 6, false);
                if (cancel) {
                  deployment.cluster.at(
                      100_000 + deployment.cluster.random.nextLong(3_000_000),
                      () -> deployment.users.cancelOnceAccepted(job.uid()));
                }
              });
        }
        deployment.cluster.at(40_000_000, () -> deployment.cluster.leader().crash(0.3));
        deployment.cluster.runFor(95);
        deployment.endFaults();
        return () ->
            deployment.jobs.size() - before == 360 && deployment.countReported("aborted") > 20;
      }),
  ALL_CONTROLLERS_DOWN_BEYOND_A_LEASE(
      deployment -> {
        deployment
            .cluster
            .controllers
            .values()
            .forEach(controller -> controller.crash(FaultDeployment.LEASE_S + 4));
        deployment.cluster.runFor(FaultDeployment.LEASE_S + 3);
        boolean nothingRuns =
            deployment.cluster.controllers.values().stream()
                    .noneMatch(controller -> controller.controller() != null)
                && deployment.startedJobs(1).stream().noneMatch(deployment::hasActiveTasks);
        deployment.cluster.runFor(10);
        deployment.endFaults();
        return () -> nothingRuns;
      }),
  DELAYED_COMMANDS_AND_HUNG_MACHINES(
      deployment -> {
        deployment.cluster.network.extraCommandDelayMicros = 3_000_000;
        deployment.cluster.cloud.machines.values().stream()
            .filter(vm -> vm.worker != null)
            .limit(4)
            .forEach(
                vm -> {
                  vm.worker.hung = true;
                  deployment.cluster.at(12_000_000, () -> vm.worker.hung = false);
                });
        deployment.submitStream(8, 1, 6, 8);
        deployment.cluster.at(5_000_000, () -> deployment.users.cancelStartedJobs(3, 0, 0));
        deployment.cluster.runFor(25);
        deployment.endFaults();
        return () -> deployment.metric("direct_commands_unanswered") > 0;
      }),
  LEADER_ISOLATED_WITH_WORKERS_WHILE_JOBS_ARE_CANCELLED_ELSEWHERE(
      deployment -> {
        String cutOff = deployment.leaderLabel();
        List.of("n0", "n1", "n2", "state").stream()
            .filter(label -> !label.equals(cutOff))
            .forEach(label -> deployment.cluster.network.setBlocked(cutOff, label, true));
        int reporting = deployment.cluster.cloud.countWorkersSendingTo(cutOff);
        deployment.cluster.runFor(5);
        String next = deployment.leaderLabel();
        List<Integer> statusCodes = new ArrayList<>();
        deployment
            .startedJobs(3)
            .forEach(
                uid -> deployment.users.cancelAt(new Endpoint(next, 1), uid, statusCodes::add));
        deployment.cluster.runFor(FaultDeployment.LEASE_S + 10);
        deployment.endFaults();
        return () -> reporting > 0 && !next.equals(cutOff) && statusCodes.contains(200);
      }),
  HEARTBEATS_LOST_WHILE_DIRECT_COMMANDS_ARRIVE(
      deployment -> {
        deployment
            .machinesIn("a")
            .forEach(deployment.cluster.network.machinesWithLostHeartbeats::add);
        deployment.cluster.at(3_000_000, () -> deployment.users.cancelStartedJobs(2, 0, 0));
        deployment.submitStream(6, 2, 4, 10);
        deployment.cluster.at(8_000_000, () -> deployment.cluster.leader().crash(2));
        deployment.cluster.runFor(FaultDeployment.LEASE_S + 15);
        boolean heartbeatsLost = !deployment.cluster.network.machinesWithLostHeartbeats.isEmpty();
        deployment.endFaults();
        return () -> heartbeatsLost;
      }),
  UNANSWERED_TRANSACTIONS_WITH_CONCURRENT_QUERIES(
      deployment -> {
        deployment.cluster.store.unansweredWriteShare = 0.4;
        deployment.users.queryAllControllersOnChange = true;
        deployment.submitStream(10, 2, 4, 6);
        deployment.cluster.at(6_000_000, () -> deployment.users.cancelStartedJobs(3, 0, 0));
        deployment.cluster.runFor(40);
        deployment.endFaults();
        return () ->
            deployment.cluster.store.appliedUnanswered > 10
                && deployment.users.answeredQueries > 20;
      }),
  ONE_ZONE_JOBS_LOSE_MACHINES(
      deployment -> {
        for (int i = 0; i < 5; i++) {
          deployment.submitOneZone(8, 25);
        }
        deployment.cluster.runFor(14);
        List<String> lost =
            deployment.machinesIn("a").subList(0, deployment.machinesIn("a").size() / 2);
        lost.forEach(deployment.cluster.cloud::delete);
        deployment.cluster.runFor(4);
        deployment.cluster.leader().crash(0.2);
        deployment.cluster.runFor(20);
        deployment.endFaults();
        return () -> !lost.isEmpty();
      }),
  TASKS_END_FAR_APART_ACROSS_A_LEADER_CHANGE(
      deployment -> {
        deployment.cluster.cloud.capacity = 3;
        for (int i = 0; i < 8; i++) {
          deployment.submit("blue", 2 + i % 2, 4, 25, false);
        }
        deployment.cluster.runFor(30);
        deployment.cluster.leader().crash(2);
        deployment.cluster.runFor(40);
        int starts = deployment.cluster.invariants.starts;
        deployment.endFaults();
        return () -> starts > 8;
      }),
  OLD_HEARTBEATS_REACH_EVERY_CONTROLLER_AT_A_NEW_TERM(
      deployment -> {
        deployment.cluster.network.heartbeatShareKeptForNextTerm = 0.3;
        deployment.submitStream(8, 2, 5, 10);
        deployment.cluster.runFor(20);
        deployment.cluster.leader().crash(1);
        deployment.cluster.runFor(15);
        deployment.cluster.leader().crash(0.2);
        deployment.cluster.runFor(20);
        deployment.endFaults();
        return () -> deployment.cluster.network.keptHeartbeatsDelivered > 20;
      }),
  JOBS_CANCELLED_DURING_A_LEADER_CHANGE(
      deployment -> {
        deployment.cluster.leader().crash(0.15);
        int[] cancelled = new int[1];
        for (int i = 0; i < 5; i++) {
          deployment.cluster.at(
              200_000 + 900_000L * i,
              () -> cancelled[0] += deployment.users.cancelStartedJobs(1, 0, 0).size());
        }
        deployment.cluster.runFor(8);
        deployment.endFaults();
        return () -> cancelled[0] >= 3;
      }),
  TWO_LEADER_CHANGES_THEN_ONLY_ONE_CONTROLLER_RESTARTS(
      deployment -> {
        String first = deployment.leaderLabel();
        deployment.cluster.leader().crash(0.4);
        deployment.cluster.runFor(6);
        deployment.cluster.leader().crash(0.4);
        deployment.cluster.runFor(6);
        deployment.cluster.controllers.values().forEach(SimulatedController::kill);
        deployment.cluster.at(500_000, () -> deployment.cluster.controllers.get(first).start());
        deployment.cluster.at(900_000, () -> deployment.cluster.controllers.get(first).crash(0.1));
        deployment.cluster.runFor(12);
        boolean leads = deployment.leaderLabel().equals(first);
        deployment
            .cluster
            .controllers
            .values()
            .forEach(
                controller -> {
                  if (controller.controller() == null) {
                    controller.start();
                  }
                });
        deployment.endFaults();
        return () -> leads && deployment.cluster.store.term() >= 3;
      }),
  OVERLOAD_OF_MIXED_PRIORITIES_OVER_SLOW_LINKS(
      deployment -> {
        deployment.cluster.cloud.capacity = 5;
        deployment.cluster.network.extraCommandDelayMicros = 900_000;
        deployment.cluster.store.responseDelayMicros = 300_000;
        for (int i = 0; i < 30; i++) {
          Priority priority = Priority.values()[i % 4];
          deployment.cluster.at(
              i * 1_500_000L, () -> deployment.submit("blue", priority, 6, 2, 15, false, false));
        }
        deployment.cluster.at(20_000_000, () -> deployment.users.cancelStartedJobs(4, 6, 3));
        deployment.cluster.runFor(50);
        boolean full =
            deployment.jobs.stream()
                .anyMatch(j -> !deployment.cluster.invariants.hasStarted(j.uid()));
        deployment.endFaults();
        return () -> full;
      }),
  HEARTBEATS_HELD_UNTIL_A_NEW_LEADER_HAS_ACTED(
      deployment -> {
        List<String> held = deployment.machinesIn("b");
        deployment
            .cluster
            .controllers
            .keySet()
            .forEach(
                label ->
                    held.forEach(
                        machineId ->
                            deployment.cluster.network.blockedLinks.put(
                                machineId + ">" + label, true)));
        deployment.cluster.runFor(1.5);
        deployment.cluster.leader().crash(3);
        deployment.submitStream(5, 1, 4, 10);
        deployment.cluster.runFor(12);
        boolean acts =
            deployment.cluster.controllers.values().stream().anyMatch(SimulatedController::leads);
        deployment.endFaults();
        return () -> acts && !held.isEmpty();
      }),
  QUERIES_TO_ALL_CONTROLLERS_WITH_IMMEDIATE_CANCELLATIONS(
      deployment -> {
        deployment.users.queryAllControllersOnChange = true;
        deployment.cluster.network.lostResponseShare = 0.05;
        for (int i = 0; i < 20; i++) {
          boolean cancel = i % 3 == 0;
          deployment.cluster.at(
              i * 1_500_000L,
              () -> {
                JobSpec job = deployment.submit("blue", 2, 1, 4, false);
                if (cancel) {
                  deployment.cluster.at(
                      30_000, () -> deployment.users.cancelOnceAccepted(job.uid()));
                }
              });
        }
        deployment.cluster.at(12_000_000, () -> deployment.cluster.leader().crash(0.2));
        deployment.cluster.runFor(45);
        deployment.endFaults();
        return () ->
            deployment.users.answeredQueries > 100 && deployment.countReported("aborted") > 3;
      }),
  TEN_LEADER_CHANGES_IN_TWO_MINUTES_WITH_AN_OUTAGE(
      deployment -> {
        long before = deployment.cluster.store.term();
        for (int i = 0; i < 11; i++) {
          deployment.cluster.at(
              i * 10_500_000L,
              () ->
                  deployment.cluster.controllers.values().stream()
                      .filter(SimulatedController::leads)
                      .findFirst()
                      .ifPresent(controller -> controller.crash(0.3)));
        }
        deployment.cluster.at(50_000_000, () -> deployment.cluster.store.outage = true);
        deployment.cluster.at(62_000_000, deployment.cluster.store::endOutage);
        deployment.submitStream(10, 10, 4, 15);
        deployment.cluster.runFor(122);
        long records =
            deployment.cluster.store.count("fleet/") + deployment.cluster.store.count("begun/");
        deployment.endFaults();
        return () -> deployment.cluster.store.term() - before >= 8 && records < 20;
      }),
  LEADER_CRASH_WHILE_MACHINES_WITH_LONG_TASKS_ARE_UNREACHABLE(
      deployment -> {
        List<String> zoneMachines = deployment.machinesIn("a");
        zoneMachines
            .subList(0, zoneMachines.size() / 2)
            .forEach(
                machineId -> deployment.cluster.network.blockedLinks.put("*>" + machineId, true));
        zoneMachines
            .subList(zoneMachines.size() / 2, zoneMachines.size())
            .forEach(
                machineId -> {
                  deployment.cluster.network.blockedLinks.put("*>" + machineId, true);
                  deployment.cluster.network.blockedLinks.put(machineId + ">*", true);
                });
        deployment.cluster.leader().crash(5);
        deployment.cluster.at(6_000_000, () -> deployment.users.cancelStartedJobs(2, 0, 0));
        deployment.cluster.runFor(FaultDeployment.LEASE_S + 25);
        deployment.endFaults();
        return () -> zoneMachines.size() >= 2;
      }),
  TRANSACTIONS_APPLIED_AFTER_NEWER_ONES(
      deployment -> {
        deployment.cluster.store.lateWriteShare = 0.35;
        deployment.submitStream(14, 2, 5, 6);
        deployment.cluster.at(10_000_000, () -> deployment.users.cancelStartedJobs(3, 0, 0));
        deployment.cluster.at(20_000_000, () -> deployment.cluster.leader().crash(1));
        deployment.cluster.runFor(55);
        deployment.endFaults();
        return () -> deployment.cluster.store.appliedAfterNewer > 10;
      }),
  OLD_HEARTBEATS_ARRIVE_AFTER_NEWER_ONES_AND_INCARNATIONS(
      deployment -> {
        deployment.cluster.network.duplicatedHeartbeatShare = 0.6;
        deployment.machinesIn("a").stream()
            .limit(2)
            .forEach(
                machineId -> {
                  deployment.cluster.network.blockedLinks.put(machineId + ">*", true);
                  deployment.cluster.network.blockedLinks.put("*>" + machineId, true);
                  deployment.cluster.at(
                      (long) ((FaultDeployment.LEASE_S + 5) * 1e6),
                      () -> {
                        deployment.cluster.network.blockedLinks.remove(machineId + ">*");
                        deployment.cluster.network.blockedLinks.remove("*>" + machineId);
                      });
                });
        deployment.submitStream(8, 4, 4, 8);
        deployment.cluster.runFor(60);
        deployment.endFaults();
        return () -> deployment.metric("heartbeat_copies") > 20;
      }),
  TEAM_AT_ITS_LIMIT_WITH_CANCELLATIONS_DURING_A_LEADER_CHANGE(
      deployment -> {
        deployment.submitBeyondLimit("red");
        boolean full =
            deployment.cluster.invariants.coresOf("red") > FaultDeployment.RED_CORE_LIMIT * 0.8;
        String unreachableMachine = deployment.machineRunning("red");
        deployment.cluster.network.blockedLinks.put(unreachableMachine + ">*", true);
        deployment.cluster.network.blockedLinks.put("*>" + unreachableMachine, true);
        deployment.cluster.leader().crash(3);
        deployment.cluster.at(1_000_000, () -> deployment.users.cancelStartedJobs(2, 0, 0));
        deployment.cluster.runFor(FaultDeployment.LEASE_S);
        deployment.endFaults();
        return () -> full;
      }),
  TEAM_AT_ITS_LIMIT_WITH_CANCELLED_JOBS_ON_HUNG_MACHINES(
      deployment -> {
        deployment.submitBeyondLimit("red");
        boolean full =
            deployment.cluster.invariants.coresOf("red") > FaultDeployment.RED_CORE_LIMIT * 0.8;
        int[] cancelled = new int[1];
        deployment.cluster.at(
            100_000, () -> cancelled[0] = deployment.users.cancelStartedJobs(4, 14, 6).size());
        deployment.cluster.at(400_000, () -> deployment.cluster.leader().crash(2));
        deployment.cluster.runFor(FaultDeployment.LEASE_S + 10);
        deployment.endFaults();
        return () -> full && cancelled[0] >= 2;
      }),
  CANCELLATIONS_QUERIES_AND_RESUBMISSIONS_AT_JOB_COMPLETION(
      deployment -> {
        deployment.users.cancelAndQueryAtCompletion(0.8);
        deployment.users.queryAllControllersOnChange = true;
        deployment.submitStream(25, 1.2, 2, 5);
        deployment.cluster.runFor(60);
        deployment.endFaults();
        return () ->
            deployment.countReported("aborted") > 0
                && deployment.countReported("done") > 0
                && deployment.users.answeredQueries > 50;
      }),
  MISTAKEN_REQUESTS_DURING_A_LEADER_CHANGE(
      deployment -> {
        int[] sent = new int[1];
        for (int i = 0; i < 8; i++) {
          deployment.cluster.at(
              i * 4_000_000L, () -> sent[0] += deployment.users.sendMistakenRequests());
        }
        deployment.submitStream(5, 3, 2, 5);
        deployment.cluster.at(10_000_000, () -> deployment.cluster.leader().crash(1));
        deployment.cluster.runFor(40);
        deployment.endFaults();
        return () -> sent[0] > 30;
      });

  /** Injects the faults of one combination. */
  interface Scenario {
    /**
     * Injects the faults and runs the deployment until all jobs should be served.
     *
     * @return a condition to evaluate after the run; true if the two faults took effect together
     */
    BooleanSupplier run(FaultDeployment deployment);
  }

  final Scenario scenario;

  FaultCombination(Scenario scenario) {
    this.scenario = scenario;
  }
}
