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
import plumlever.wire.JobSpec;

/**
 * Two troubles at a time, as the operators' list names them. Each test brings its meeting about,
 * shows that it took place, and then that no rule broke and everybody was served. The longest of
 * them, the gap, has a test of its own ({@link GapTest}).
 */
final class FaultCombinationTest {
  @ParameterizedTest
  @EnumSource(FaultCombination.class)
  void noRuleBreaks(FaultCombination combination) {
    FaultDeployment deployment = new FaultDeployment(900 + combination.ordinal());
    BooleanSupplier tookPlace = combination.play.in(deployment);
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
    FaultDeployment deployment = new FaultDeployment(2_000 + seed);
    deployment.users.closeLooks = seed % 2 == 0;
    for (int i = 0; i < 3; i++) {
      FaultCombination combination =
          FaultCombination.values()[
              deployment.cluster.random.nextInt(FaultCombination.values().length)];
      combination.play.in(deployment);
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
    FaultDeployment deployment = new FaultDeployment(3_003);
    deployment.cluster.store.ignorePreconditions = true;
    deployment.cluster.store.lateWrites = 0.5;
    FaultCombination.CANCELLATIONS_QUESTIONS_AND_REPEATS_MEET_THE_LAST_TASKS_END.play.in(
        deployment);
    assertTrue(
        !deployment.cluster.invariants.broken.isEmpty(),
        "the checks must see the missing preconditions");
  }

  /** The checks can fail: an answer older than one given before, at another controller, is seen. */
  @Test
  void theChecksSeeAnOlderAnswer() {
    FaultDeployment deployment = new FaultDeployment(3_001);
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
    FaultDeployment deployment = new FaultDeployment(3_002);
    deployment.cluster.play(120);
    deployment.cluster.calmSince = deployment.cluster.now();
    JobSpec job = TestJob.job(deployment.users.nextUid()).memoryGb(2).runS(5).build();
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
