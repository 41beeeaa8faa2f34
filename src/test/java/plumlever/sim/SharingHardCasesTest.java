package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static plumlever.sim.PoolScenario.GIVER;
import static plumlever.sim.PoolScenario.TAKER;
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
final class SharingHardCasesTest {
  private PoolScenario pool;
  private SimulatedCluster cluster;
  private String machine;

  /**
   * Creates a pool in which tasks of the source shard run, and selects one of the machines with
   * running tasks for the transfer.
   */
  private void tasksRun(long seed, double seconds) {
    pool = new PoolScenario(seed, 0, 9);
    cluster = pool.cluster;
    pool.submit("n0", 10, seconds);
    pool.submit("n0", 10, seconds);
    cluster.play(9);
    machine = pool.busy(GIVER).get(0);
    assertTrue(pool.running(machine) > 0, "no task runs on " + machine);
  }

  private void moved() {
    assertEquals(TAKER, pool.ownerOf(machine), "owner of the machine in the state service");
  }

  /** An event of a task while its machine is transferred. */
  enum Moment {
    SAVES((pool, machine) -> pool.worker(machine).saveOne(4)),
    ENDS((pool, machine) -> pool.worker(machine).endOne("done")),
    FAILS((pool, machine) -> pool.worker(machine).endOne("error")),
    IS_CANCELLED((pool, machine) -> pool.cancel("n1", pool.jobs.get(0), status -> {}));

    private final BiConsumer<PoolScenario, String> what;

    Moment(BiConsumer<PoolScenario, String> what) {
      this.what = what;
    }
  }

  @ParameterizedTest
  @EnumSource(Moment.class)
  void givenWhileATask(Moment moment) {
    for (int offset = 0; offset < 3; offset++) {
      tasksRun(30 + offset, 25);
      pool.beforeStep(1 + offset % 2, () -> moment.what.accept(pool, machine));
      pool.give(GIVER, machine, TAKER);
      cluster.play(3);
      moved();
      pool.endsWell(150);
      if (moment == Moment.SAVES) {
        pool.nothingWasStartedAnew();
      }
    }
  }

  @Test
  void aMoveStopsAndRestartsNothingAndItsFreeRoomIsUsed() {
    tasksRun(1, 40);
    int before = pool.running(machine);
    pool.give(GIVER, machine, TAKER);
    cluster.play(2);
    moved();
    assertEquals(before, pool.running(machine), "running tasks after the transfer");
    JobSpec other = pool.submit("n2", 30, 10);
    cluster.play(10);
    boolean mixed =
        pool.worker(machine).tasks.values().stream()
            .anyMatch(task -> task.name.startsWith(other.uid()));
    assertTrue(mixed || pool.running(machine) == before, "tasks after the transfer");
    pool.endsWell(150);
    pool.nothingWasStartedAnew();
  }

  @Test
  void twoTransfersOfTwoMachinesCross() {
    tasksRun(2, 30);
    pool.submit("n2", 20, 30);
    cluster.play(9);
    String other = pool.busy(TAKER).get(0);
    pool.give(GIVER, machine, TAKER);
    pool.give(TAKER, other, GIVER);
    cluster.play(3);
    moved();
    assertEquals(GIVER, pool.ownerOf(other));
    pool.endsWell(150);
    pool.nothingWasStartedAnew();
  }

  @Test
  void oneMachineGoesThereAndBackAndOnWhileItsTasksRun() {
    tasksRun(3, 45);
    pool.give(GIVER, machine, TAKER);
    pool.giveSoon(TAKER, machine, GIVER);
    cluster.play(4);
    assertEquals(GIVER, pool.ownerOf(machine));
    pool.giveSoon(GIVER, machine, THIRD);
    cluster.play(4);
    pool.giveSoon(THIRD, machine, TAKER);
    cluster.play(4);
    moved();
    assertTrue(pool.running(machine) > 0, "no task runs after the transfers");
    pool.endsWell(150);
    pool.nothingWasStartedAnew();
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
  void leadersEndAtAStep(int step, boolean giverEnds, boolean takerEnds) {
    for (double back : new double[] {0.2, 8}) {
      tasksRun(40 + step, 35);
      pool.beforeStep(
          step,
          () -> {
            if (giverEnds) {
              cluster.leader(GIVER).crash(back);
            }
            if (takerEnds) {
              cluster.leader(TAKER).crash(back);
            }
          });
      pool.give(GIVER, machine, TAKER);
      cluster.play(20);
      String owner = pool.ownerOf(machine);
      assertTrue(owner.equals(GIVER) || owner.equals(TAKER), "unexpected owner: " + owner);
      pool.endsWell(200);
      pool.nothingWasStartedAnew();
    }
  }

  @ParameterizedTest
  @CsvSource({"1,east", "1,north", "2,east", "2,north"})
  void aLeaderStandsStillAtAStepAndWakes(int step, String shard) {
    for (double seconds : new double[] {2, 15, 40}) {
      tasksRun(50 + step, 30);
      pool.beforeStep(step, () -> cluster.leader(shard).freeze(seconds));
      pool.give(GIVER, machine, TAKER);
      cluster.play(seconds + 10);
      pool.endsWell(200);
      pool.nothingWasStartedAnew();
    }
  }

  /** A network link of a shard that is cut. */
  enum Link {
    STATE_SERVICE,
    PEERS,
    MACHINE
  }

  private void cut(String shard, Link link, boolean on) {
    for (SimulatedController controller : cluster.shard(shard)) {
      String label = controller.platform.label();
      switch (link) {
        case STATE_SERVICE -> cluster.network.cut(label, "state", on);
        case MACHINE -> cluster.network.cut(label, machine, on);
        case PEERS ->
            cluster.controllers.keySet().stream()
                .filter(other -> !other.equals(label))
                .forEach(other -> cluster.network.cut(label, other, on));
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
  void aShardLosesALinkWhileAMachineMoves(Link link, String shard) {
    for (int step = 1; step <= 2; step++) {
      tasksRun(60 + step, 30);
      pool.beforeStep(step, () -> cut(shard, link, true));
      pool.give(GIVER, machine, TAKER);
      cluster.play(15);
      cut(shard, link, false);
      pool.endsWell(250);
    }
  }

  @Test
  void commandsOfTheFormerOwnerCarriedOutMinutesLateStartNothing() {
    for (int seed = 70; seed < 74; seed++) {
      pool = new PoolScenario(seed, 0, 9);
      cluster = pool.cluster;
      cluster.network.copiedCommandShare = 1;
      pool.submit("n0", 10, 12);
      pool.submit("n0", 10, 12);
      cluster.play(9);
      machine = pool.busy(GIVER).get(0);
      pool.giveSoon(GIVER, machine, TAKER);
      cluster.play(20);
      moved();
      pool.submit("n2", 20, 12);
      pool.endsWell(200);
      pool.nothingWasStartedAnew();
    }
  }

  @Test
  void oldHeartbeatsReachTheFormerOwner() {
    tasksRun(75, 25);
    cluster.network.copiedHeartbeatShare = 1;
    pool.give(GIVER, machine, TAKER);
    cluster.play(60);
    pool.submit("n0", 20, 10);
    pool.submit("n2", 20, 10);
    cluster.play(30);
    cluster.network.copiedHeartbeatShare = 0;
    pool.endsWell(200);
    pool.nothingWasStartedAnew();
  }

  @Test
  void theMachineHangsBeyondItsLeaseAsItMoves() {
    tasksRun(76, 25);
    FakeWorker worker = pool.worker(machine);
    pool.beforeStep(2, () -> worker.hung = true);
    pool.give(GIVER, machine, TAKER);
    cluster.at(2 * FakeWorker.LEASE_MICROS, () -> worker.hung = false);
    cluster.play(60);
    pool.endsWell(250);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void theMachineDiesAsItMoves(int step) {
    tasksRun(77, 25);
    pool.beforeStep(step, () -> pool.worker(machine).die());
    pool.give(GIVER, machine, TAKER);
    cluster.play(60);
    pool.endsWell(250);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void theMachineIsPreemptedAsItMoves(int step) {
    tasksRun(78, 25);
    pool.beforeStep(
        step,
        () -> {
          pool.worker(machine).notice(6);
          cluster.at(6_000_000, () -> cluster.cloud.delete(machine));
        });
    pool.give(GIVER, machine, TAKER);
    cluster.play(60);
    pool.endsWell(250);
  }

  /**
   * The originating shard confirms a cancellation while the leader of the owning shard, which does
   * not learn of the cancellation, renews the machine's lease. The watches of the owning leader are
   * not answered, and the originating shard cannot reach it, for longer than the time limit of a
   * cancellation.
   *
   * @param believedCancelMicros time limit of a cancellation that the controllers assume
   */
  private void cancelledBeforeALongOutage(long believedCancelMicros) {
    pool = new PoolScenario(79, 0, 9, believedCancelMicros);
    cluster = pool.cluster;
    JobSpec job = pool.submit("n0", 12, 300);
    cluster.play(9);
    machine = pool.busy(GIVER).get(0);
    pool.give(GIVER, machine, TAKER);
    cluster.play(6);
    moved();
    String owner = cluster.leader(TAKER).platform.label();
    cluster.store.unwatched.add(owner);
    cluster
        .shard(GIVER)
        .forEach(controller -> cluster.network.cut(controller.platform.label(), owner, true));
    // Waits until the watches that were already open have ended.
    cluster.play(11);
    List<Integer> told = new ArrayList<>();
    pool.cancel("n1", job, told::add);
    cluster.play(1);
    assertEquals(List.of(200), told);
    cluster.play(InvariantChecker.CANCEL_MICROS / 1e6 + 10);
  }

  @Test
  void aCancellationConfirmedByTheOriginatingShardIsNotOutlivedAtTheOwner() {
    cancelledBeforeALongOutage(InvariantChecker.CANCEL_MICROS);
    assertEquals(List.of(), cluster.invariants.broken);
    cluster
        .controllers
        .keySet()
        .forEach(
            one ->
                cluster
                    .controllers
                    .keySet()
                    .forEach(other -> cluster.network.cut(one, other, false)));
    pool.endsWell(150);
  }

  /**
   * Verifies that the invariant check detects a missing bound: with an assumed limit of one hour
   * for a cancellation, the owning leader keeps renewing the lease.
   */
  @Test
  void withoutTheBoundForeignTasksOutliveTheirCancellation() {
    cancelledBeforeALongOutage(3_600_000_000L);
    assertTrue(
        cluster.invariants.broken.stream().anyMatch(rule -> rule.startsWith("ran_cancelled")),
        "the invariant check did not detect the missing bound");
  }

  /**
   * The watches of the source leader are not answered, so the source leader does not learn that the
   * target shard accepted the offered machine.
   */
  @Test
  void aGiverThatHearsNothingOfThePoolStopsAnsweringTheMachine() {
    tasksRun(80, 60);
    SimulatedController giver = cluster.leader(GIVER);
    // The open watch is answered with the offer; later watches of this leader are never answered.
    cluster.store.unwatched.add(giver.platform.label());
    cluster
        .shard(TAKER)
        .forEach(controller -> cluster.network.cut(controller.platform.label(), machine, true));
    pool.give(GIVER, machine, TAKER);
    cluster.play(12);
    moved();
    assertTrue(giver.leads(), "the source leader lost leadership");
    long[] status = new long[1];
    giver
        .controller()
        .router()
        .handle(
            "POST",
            ProtocolPath.HEARTBEAT,
            pool.worker(machine).statusBytes(),
            (code, json, retry) -> status[0] = code);
    assertEquals(503, status[0], "heartbeat of a machine that may have a new owner");
    cluster
        .shard(TAKER)
        .forEach(controller -> cluster.network.cut(controller.platform.label(), machine, false));
    pool.endsWell(250);
  }

  @Test
  void machinesOfACellWithoutControllersAreAdoptedAndItsJobsAreKept() {
    tasksRun(81, 20);
    cluster.adoptAfterMicros = 60_000_000;
    // The other shards must be restarted to apply the shorter adoption timeout.
    cluster.shard(TAKER).forEach(controller -> controller.crash(0.5));
    cluster.shard(THIRD).forEach(controller -> controller.crash(0.5));
    List<SimulatedController> gone = cluster.shard(GIVER);
    gone.forEach(SimulatedController::kill);
    cluster.play(130);
    assertFalse(pool.ownerOf(machine).equals(GIVER), "the machine was not adopted");
    pool.submit("n2", 30, 10);
    cluster.play(40);
    gone.forEach(SimulatedController::start);
    pool.endsWell(300);
  }

  @Test
  void shardsWithDifferentSharingFilesGiveEachOtherNothing() {
    tasksRun(82, 20);
    cluster.digests.put(TAKER, "another");
    cluster.shard(TAKER).forEach(controller -> controller.crash(0.5));
    cluster.play(10);
    pool.give(GIVER, machine, TAKER);
    cluster.play(20);
    assertEquals(GIVER, pool.ownerOf(machine), "owner after the offer was withdrawn");
    pool.endsWell(150);
    pool.nothingWasStartedAnew();
  }

  /**
   * Both controllers of the owning shard restart without a sharing file while foreign tasks run on
   * the shard's machines.
   */
  @Test
  void controllersWithoutTheSharingFileNeitherLeadNorAnswer() {
    tasksRun(83, 60);
    pool.give(GIVER, machine, TAKER);
    cluster.play(3);
    moved();
    List<SimulatedController> without = cluster.shard(TAKER);
    cluster.digests.put(TAKER, "none");
    without.forEach(controller -> controller.crash(0.5));
    cluster.play(20);
    assertTrue(without.stream().noneMatch(SimulatedController::leads), "a controller leads");
    int[] status = new int[1];
    without
        .get(0)
        .controller()
        .router()
        .handle(
            "GET",
            "/submissions/" + pool.jobs.get(0).uid(),
            new byte[0],
            (code, json, retry) -> status[0] = code);
    assertEquals(503, status[0], "status query for a job of another shard");
    cluster.digests.clear();
    without.forEach(controller -> controller.crash(0.5));
    pool.endsWell(250);
  }

  @Test
  void teamLimitsHoldOverThePoolWhileTheirPartsMove() {
    pool = new PoolScenario(84, 24, 12);
    cluster = pool.cluster;
    for (String controller : List.of("n0", "n2", "n4")) {
      pool.submit(controller, "red", 40, 6);
      cluster.play(25);
    }
    assertTrue(
        cluster.controllers.values().stream()
                .filter(controller -> controller.controller() != null)
                .mapToLong(
                    controller -> controller.controller().metrics().counter("limit_parts_given"))
                .sum()
            > 0,
        "no limit share was transferred between shards");
    pool.endsWell(200);
  }

  /**
   * A leader stops using a share of a team limit before it sends the transaction that transfers the
   * share. The share stays unused if the leader receives neither the answer to the transaction nor
   * the change through its watch.
   */
  @Test
  void aPartThatIsGivenUnheardIsNotUsedAnyMore() {
    pool = new PoolScenario(86, 24, 12);
    cluster = pool.cluster;
    cluster.play(20);
    pool.submit("n2", "red", 24, 40);
    pool.submit("n4", "red", 8, 40);
    cluster.store.interveneBefore = "pool/limits/";
    cluster.store.intervention =
        () -> {
          // Only the source leader does not learn that its share belongs to another shard now.
          cluster.store.answerLostOnce = "pool/limits/";
          cluster.store.untold = "pool/";
          cluster.store.untoldController = cluster.leader(GIVER).platform.label();
          pool.submit("n0", "red", 8, 20);
          cluster.at(4_000_000, () -> cluster.store.untold = null);
        };
    cluster.play(60);
    assertTrue(cluster.store.appliedUnanswered > 0, "no unanswered transfer");
    pool.endsWell(250);
  }

  @Test
  void anyControllerAnswersForAnyJob() {
    tasksRun(85, 15);
    pool.users.closeLooks = true;
    JobSpec job = pool.submit("n4", 6, 5);
    cluster.play(6);
    List<Integer> told = new ArrayList<>();
    pool.cancel("n2", job, told::add);
    cluster.play(2);
    assertEquals(List.of(200), told, "cancelled through a controller of another shard");
    pool.endsWell(120);
    assertTrue(pool.users.looks > 0, "no status query of the users was answered");
  }
}
