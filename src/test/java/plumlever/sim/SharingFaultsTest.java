package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static plumlever.sim.PoolScenario.SOURCE;
import static plumlever.sim.PoolScenario.TARGET;
import static plumlever.sim.PoolScenario.THIRD;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.wire.JobSpec;
import plumlever.wire.ProtocolPath;

/** Transfers of machines with running tasks between shards, each combined with one fault. */
final class SharingFaultsTest {
  private PoolScenario pool;
  private SimulatedCluster cluster;
  private String machine;

  /**
   * Creates a pool in which tasks of the source shard run, and selects one of the machines with
   * running tasks for the transfer.
   */
  private void startWithRunningTasks(long seed, double seconds) {
    pool = new PoolScenario(seed, 0, 9);
    cluster = pool.cluster;
    pool.submit("n0", 10, seconds);
    pool.submit("n0", 10, seconds);
    cluster.runFor(9);
    machine = pool.machinesWithTasks(SOURCE).get(0);
    assertTrue(pool.runningTasks(machine) > 0, "no task runs on " + machine);
  }

  private void assertOwnedByTarget() {
    assertEquals(TARGET, pool.ownerOf(machine), "owner of the machine in the state service");
  }

  /** An event that happens to a task while the task's machine is transferred. */
  enum TaskEvent {
    SAVES_CHECKPOINT((pool, machine) -> pool.worker(machine).checkpointOne(4)),
    COMPLETES((pool, machine) -> pool.worker(machine).endOne("done")),
    FAILS((pool, machine) -> pool.worker(machine).endOne("error")),
    IS_CANCELLED((pool, machine) -> pool.cancel("n1", pool.jobs.get(0), status -> {}));

    private final BiConsumer<PoolScenario, String> action;

    TaskEvent(BiConsumer<PoolScenario, String> action) {
      this.action = action;
    }
  }

  @ParameterizedTest
  @EnumSource(TaskEvent.class)
  void machineIsTransferredDuringTaskEvent(TaskEvent event) {
    for (int offset = 0; offset < 3; offset++) {
      startWithRunningTasks(30 + offset, 25);
      pool.beforeTransferStep(1 + offset % 2, () -> event.action.accept(pool, machine));
      pool.transfer(SOURCE, machine, TARGET);
      cluster.runFor(3);
      assertOwnedByTarget();
      pool.assertAllJobsEnd(150);
      if (event == TaskEvent.SAVES_CHECKPOINT) {
        pool.assertEveryTaskStartedOnce();
      }
    }
  }

  @Test
  void transferKeepsTasksRunningAndFreeCapacityUsable() {
    startWithRunningTasks(1, 40);
    int before = pool.runningTasks(machine);
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(2);
    assertOwnedByTarget();
    assertEquals(before, pool.runningTasks(machine), "running tasks after the transfer");
    JobSpec other = pool.submit("n2", 30, 10);
    cluster.runFor(10);
    boolean mixed =
        pool.worker(machine).tasks.values().stream()
            .anyMatch(task -> task.name.startsWith(other.uid()));
    assertTrue(mixed || pool.runningTasks(machine) == before, "free capacity stays unused");
    pool.assertAllJobsEnd(150);
    pool.assertEveryTaskStartedOnce();
  }

  @Test
  void transfersInOppositeDirectionsOverlap() {
    startWithRunningTasks(2, 30);
    pool.submit("n2", 20, 30);
    cluster.runFor(9);
    String other = pool.machinesWithTasks(TARGET).get(0);
    pool.transfer(SOURCE, machine, TARGET);
    pool.transfer(TARGET, other, SOURCE);
    cluster.runFor(3);
    assertOwnedByTarget();
    assertEquals(SOURCE, pool.ownerOf(other));
    pool.assertAllJobsEnd(150);
    pool.assertEveryTaskStartedOnce();
  }

  @Test
  void machineWithRunningTasksIsTransferredSeveralTimes() {
    startWithRunningTasks(3, 45);
    pool.transfer(SOURCE, machine, TARGET);
    pool.transferWhenPossible(TARGET, machine, SOURCE);
    cluster.runFor(4);
    assertEquals(SOURCE, pool.ownerOf(machine));
    pool.transferWhenPossible(SOURCE, machine, THIRD);
    cluster.runFor(4);
    pool.transferWhenPossible(THIRD, machine, TARGET);
    cluster.runFor(4);
    assertOwnedByTarget();
    assertTrue(pool.runningTasks(machine) > 0, "no task runs after the transfers");
    pool.assertAllJobsEnd(150);
    pool.assertEveryTaskStartedOnce();
  }

  @ParameterizedTest
  @CsvSource({
    "1,true,false",
    "1,false,true",
    "1,true,true",
    "2,true,false",
    "2,false,true",
    "2,true,true"
  })
  void leadersCrashAtTransferStep(int step, boolean sourceCrashes, boolean targetCrashes) {
    for (double backAfterS : new double[] {0.2, 8}) {
      startWithRunningTasks(40 + step, 35);
      pool.beforeTransferStep(
          step,
          () -> {
            if (sourceCrashes) {
              cluster.leader(SOURCE).crash(backAfterS);
            }
            if (targetCrashes) {
              cluster.leader(TARGET).crash(backAfterS);
            }
          });
      pool.transfer(SOURCE, machine, TARGET);
      cluster.runFor(20);
      String owner = pool.ownerOf(machine);
      assertTrue(owner.equals(SOURCE) || owner.equals(TARGET), "unexpected owner: " + owner);
      pool.assertAllJobsEnd(200);
      pool.assertEveryTaskStartedOnce();
    }
  }

  @ParameterizedTest
  @CsvSource({"1,east", "1,north", "2,east", "2,north"})
  void leaderFreezesAtTransferStepAndResumes(int step, String shard) {
    for (double seconds : new double[] {2, 15, 40}) {
      startWithRunningTasks(50 + step, 30);
      pool.beforeTransferStep(step, () -> cluster.leader(shard).freeze(seconds));
      pool.transfer(SOURCE, machine, TARGET);
      cluster.runFor(seconds + 10);
      pool.assertAllJobsEnd(200);
      pool.assertEveryTaskStartedOnce();
    }
  }

  /** A network link of a shard that fails. */
  enum Link {
    STATE_SERVICE,
    PEERS,
    MACHINE
  }

  private void setPartitioned(String shard, Link link, boolean partitioned) {
    for (SimulatedController controller : cluster.shard(shard)) {
      String label = controller.platform.label();
      switch (link) {
        case STATE_SERVICE -> cluster.network.setBlocked(label, "state", partitioned);
        case MACHINE -> cluster.network.setBlocked(label, machine, partitioned);
        case PEERS ->
            cluster.controllers.keySet().stream()
                .filter(other -> !other.equals(label))
                .forEach(other -> cluster.network.setBlocked(label, other, partitioned));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "STATE_SERVICE,east",
    "STATE_SERVICE,north",
    "PEERS,east",
    "PEERS,north",
    "MACHINE,east",
    "MACHINE,north"
  })
  void shardLosesLinkDuringTransfer(Link link, String shard) {
    for (int step = 1; step <= 2; step++) {
      startWithRunningTasks(60 + step, 30);
      pool.beforeTransferStep(step, () -> setPartitioned(shard, link, true));
      pool.transfer(SOURCE, machine, TARGET);
      cluster.runFor(15);
      setPartitioned(shard, link, false);
      pool.assertAllJobsEnd(250);
    }
  }

  @Test
  void lateDuplicateCommandsOfFormerOwnerStartNoTask() {
    for (int seed = 70; seed < 74; seed++) {
      pool = new PoolScenario(seed, 0, 9);
      cluster = pool.cluster;
      cluster.network.duplicatedCommandShare = 1;
      pool.submit("n0", 10, 12);
      pool.submit("n0", 10, 12);
      cluster.runFor(9);
      machine = pool.machinesWithTasks(SOURCE).get(0);
      pool.transferWhenPossible(SOURCE, machine, TARGET);
      cluster.runFor(20);
      assertOwnedByTarget();
      pool.submit("n2", 20, 12);
      pool.assertAllJobsEnd(200);
      pool.assertEveryTaskStartedOnce();
    }
  }

  @Test
  void lateDuplicateHeartbeatsReachFormerOwner() {
    startWithRunningTasks(75, 25);
    cluster.network.duplicatedHeartbeatShare = 1;
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(60);
    pool.submit("n0", 20, 10);
    pool.submit("n2", 20, 10);
    cluster.runFor(30);
    cluster.network.duplicatedHeartbeatShare = 0;
    pool.assertAllJobsEnd(200);
    pool.assertEveryTaskStartedOnce();
  }

  @Test
  void workerHangsBeyondLeaseDuringTransfer() {
    startWithRunningTasks(76, 25);
    FakeWorker worker = pool.worker(machine);
    pool.beforeTransferStep(2, () -> worker.hung = true);
    pool.transfer(SOURCE, machine, TARGET);
    cluster.at(2 * FakeWorker.LEASE_MICROS, () -> worker.hung = false);
    cluster.runFor(60);
    pool.assertAllJobsEnd(250);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void machineFailsDuringTransfer(int step) {
    startWithRunningTasks(77, 25);
    pool.beforeTransferStep(step, () -> pool.worker(machine).terminate());
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(60);
    pool.assertAllJobsEnd(250);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void machineIsPreemptedDuringTransfer(int step) {
    startWithRunningTasks(78, 25);
    pool.beforeTransferStep(
        step,
        () -> {
          pool.worker(machine).announcePreemption(6);
          cluster.at(6_000_000, () -> cluster.cloud.delete(machine));
        });
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(60);
    pool.assertAllJobsEnd(250);
  }

  /**
   * A job is cancelled in its own shard, while its tasks run on a machine that another shard owns.
   * The leader of the owning shard does not learn of the cancellation, but renews the machine's
   * lease. For longer than the time limit of a cancellation, this leader's watches receive no
   * response, and it is partitioned from the job's shard.
   *
   * @param assumedCancelMicros time within which the controllers assume that the tasks of a
   *     cancelled job have to end
   */
  private void cancelBeforeLongPartition(long assumedCancelMicros) {
    pool = new PoolScenario(79, 0, 9, assumedCancelMicros);
    cluster = pool.cluster;
    JobSpec job = pool.submit("n0", 12, 300);
    cluster.runFor(9);
    machine = pool.machinesWithTasks(SOURCE).get(0);
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(6);
    assertOwnedByTarget();
    String owner = cluster.leader(TARGET).platform.label();
    cluster.store.controllersWithoutWatches.add(owner);
    cluster
        .shard(SOURCE)
        .forEach(
            controller -> cluster.network.setBlocked(controller.platform.label(), owner, true));
    // Waits until the watches that were open before the fault have ended.
    cluster.runFor(11);
    List<Integer> statuses = new ArrayList<>();
    pool.cancel("n1", job, statuses::add);
    cluster.runFor(1);
    assertEquals(List.of(200), statuses);
    cluster.runFor(InvariantChecker.CANCEL_MICROS / 1e6 + 10);
  }

  @Test
  void foreignTasksEndInTimeAfterCancellation() {
    cancelBeforeLongPartition(InvariantChecker.CANCEL_MICROS);
    assertEquals(List.of(), cluster.invariants.violations);
    cluster
        .controllers
        .keySet()
        .forEach(
            one ->
                cluster
                    .controllers
                    .keySet()
                    .forEach(other -> cluster.network.setBlocked(one, other, false)));
    pool.assertAllJobsEnd(150);
  }

  /**
   * Verifies that the invariant checks report a missing bound on lease renewals. The owning leader
   * assumes a limit of one hour for a cancellation, so it keeps renewing the lease.
   */
  @Test
  void withoutBoundForeignTasksOutliveCancellation() {
    cancelBeforeLongPartition(3_600_000_000L);
    assertTrue(
        cluster.invariants.violations.stream().anyMatch(rule -> rule.startsWith("ran_cancelled")),
        "the invariant check did not detect the missing bound");
  }

  /**
   * The watches of the source leader receive no response, so the source leader does not learn that
   * the target shard accepted the offered machine. The source leader must not renew the machine's
   * lease once its view of the pool is too old.
   */
  @Test
  void sourceLeaderWithoutPoolUpdatesRefusesHeartbeats() {
    startWithRunningTasks(80, 60);
    SimulatedController sourceLeader = cluster.leader(SOURCE);
    // The watch that is already open receives the offer of the machine; later watches of this
    // leader receive no response.
    cluster.store.controllersWithoutWatches.add(sourceLeader.platform.label());
    cluster
        .shard(TARGET)
        .forEach(
            controller -> cluster.network.setBlocked(controller.platform.label(), machine, true));
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(12);
    assertOwnedByTarget();
    assertTrue(sourceLeader.leads(), "the source leader lost leadership");
    long[] status = new long[1];
    sourceLeader
        .controller()
        .router()
        .handle(
            "POST",
            ProtocolPath.HEARTBEAT,
            pool.worker(machine).statusBytes(),
            (code, json, retry) -> status[0] = code);
    assertEquals(503, status[0], "heartbeat of a machine that may have a new owner");
    cluster
        .shard(TARGET)
        .forEach(
            controller -> cluster.network.setBlocked(controller.platform.label(), machine, false));
    pool.assertAllJobsEnd(250);
  }

  @Test
  void machinesOfShardWithoutControllersAreAdoptedAndItsJobsKept() {
    startWithRunningTasks(81, 20);
    cluster.adoptionDelayMicros = 60_000_000;
    // Restarts the controllers of the other shards, so that they apply the shorter adoption delay.
    cluster.shard(TARGET).forEach(controller -> controller.crash(0.5));
    cluster.shard(THIRD).forEach(controller -> controller.crash(0.5));
    List<SimulatedController> stopped = cluster.shard(SOURCE);
    stopped.forEach(SimulatedController::kill);
    cluster.runFor(130);
    assertFalse(pool.ownerOf(machine).equals(SOURCE), "the machine was not adopted");
    pool.submit("n2", 30, 10);
    cluster.runFor(40);
    stopped.forEach(SimulatedController::start);
    pool.assertAllJobsEnd(300);
  }

  @Test
  void shardsWithDifferentSharingFilesDoNotTransferMachines() {
    startWithRunningTasks(82, 20);
    cluster.sharingDigestByShard.put(TARGET, "another");
    cluster.shard(TARGET).forEach(controller -> controller.crash(0.5));
    cluster.runFor(10);
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(20);
    assertEquals(SOURCE, pool.ownerOf(machine), "owner after the offer was withdrawn");
    pool.assertAllJobsEnd(150);
    pool.assertEveryTaskStartedOnce();
  }

  /**
   * Both controllers of the owning shard restart without a sharing file while tasks of other shards
   * run on the shard's machines. They must not lead. They cannot know the jobs of the other shards,
   * so they must not report such a job as unknown.
   */
  @Test
  void controllersWithoutSharingFileNeitherLeadNorServeUsers() {
    startWithRunningTasks(83, 60);
    pool.transfer(SOURCE, machine, TARGET);
    cluster.runFor(3);
    assertOwnedByTarget();
    List<SimulatedController> restarted = cluster.shard(TARGET);
    cluster.sharingDigestByShard.put(TARGET, "none");
    restarted.forEach(controller -> controller.crash(0.5));
    cluster.runFor(20);
    assertTrue(restarted.stream().noneMatch(SimulatedController::leads), "a controller leads");
    int[] status = new int[1];
    restarted
        .get(0)
        .controller()
        .router()
        .handle(
            "GET",
            "/submissions/" + pool.jobs.get(0).uid(),
            new byte[0],
            (code, json, retry) -> status[0] = code);
    assertEquals(503, status[0], "status query for a job that the controller cannot know");
    cluster.sharingDigestByShard.clear();
    restarted.forEach(controller -> controller.crash(0.5));
    pool.assertAllJobsEnd(250);
  }

  @Test
  void teamLimitsHoldAcrossPoolWhilePartsOfLimitsMove() {
    pool = new PoolScenario(84, 24, 12);
    cluster = pool.cluster;
    for (String controller : List.of("n0", "n2", "n4")) {
      pool.submit(controller, "red", 40, 6);
      cluster.runFor(25);
    }
    assertTrue(
        cluster.controllers.values().stream()
                .filter(controller -> controller.controller() != null)
                .mapToLong(
                    controller -> controller.controller().metrics().counter("limit_parts_given"))
                .sum()
            > 0,
        "no part of a limit was moved between shards");
    pool.assertAllJobsEnd(200);
  }

  /**
   * A leader stops using cores of its part of a team limit before it sends the transaction that
   * moves the cores to another shard. The leader must not use these cores again if it receives
   * neither the response to the transaction nor the change through its watch.
   */
  @Test
  void coresMovedWithoutResponseAreNotUsed() {
    pool = new PoolScenario(86, 24, 12);
    cluster = pool.cluster;
    cluster.runFor(20);
    pool.submit("n2", "red", 24, 40);
    pool.submit("n4", "red", 8, 40);
    cluster.store.interventionPrefix = "pool/limits/";
    cluster.store.intervention =
        () -> {
          // The source leader alone does not learn that the cores were moved to another shard.
          cluster.store.unansweredWritePrefix = "pool/limits/";
          cluster.store.prefixWithoutChanges = "pool/";
          cluster.store.controllerWithoutChanges = cluster.leader(SOURCE).platform.label();
          pool.submit("n0", "red", 8, 20);
          cluster.at(4_000_000, () -> cluster.store.prefixWithoutChanges = null);
        };
    cluster.runFor(60);
    assertTrue(cluster.store.appliedUnanswered > 0, "no applied transaction without a response");
    pool.assertAllJobsEnd(250);
  }

  @Test
  void anyControllerServesRequestsForAnyJob() {
    startWithRunningTasks(85, 15);
    pool.users.queryAllControllersOnChange = true;
    JobSpec job = pool.submit("n4", 6, 5);
    cluster.runFor(6);
    List<Integer> statuses = new ArrayList<>();
    pool.cancel("n2", job, statuses::add);
    cluster.runFor(2);
    assertEquals(List.of(200), statuses, "cancelled through a controller of another shard");
    pool.assertAllJobsEnd(120);
    assertTrue(pool.users.answeredQueries > 0, "no status query of the users was answered");
  }
}
