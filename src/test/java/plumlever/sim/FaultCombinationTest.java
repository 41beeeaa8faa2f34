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
 * Tests combinations of simultaneous faults, chosen from the list of faults that operators have
 * named. Each test injects the faults, shows that they took effect, and checks that no rule of the
 * protocol was violated and that all jobs were served. Cancellations that the leader cannot learn
 * of are tested in {@link UnseenCancellationTest}, because they take longest.
 */
final class FaultCombinationTest {
  @ParameterizedTest
  @EnumSource(FaultCombination.class)
  void noRuleIsViolated(FaultCombination combination) {
    FaultDeployment deployment = new FaultDeployment(900 + combination.ordinal());
    BooleanSupplier tookPlace = combination.scenario.run(deployment);
    deployment.cluster.invariants.checkJobsServed();
    assertEquals(List.of(), deployment.cluster.invariants.violations);
    assertTrue(tookPlace.getAsBoolean(), "the faults of the combination took effect");
    List<String> open = new ArrayList<>();
    for (JobSpec job : deployment.jobs) {
      String status = deployment.cluster.invariants.lastReportedStatus.get(job.uid());
      if (!"done".equals(status) && !"aborted".equals(status)) {
        open.add(job.uid() + " " + status);
      }
    }
    assertEquals(List.of(), open, "jobs neither done nor cancelled at the end");
  }

  /**
   * Returns the seeds to run; each seed draws three fault combinations. {@code -Dplumlever.first=F
   * -Dplumlever.seeds=N} selects N seeds from seed F.
   */
  static Stream<Long> seeds() {
    long first = Long.getLong("plumlever.first", 1);
    return Stream.iterate(first, s -> s + 1).limit(Integer.getInteger("plumlever.seeds", 6));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void severalCombinationsInSequence(long seed) {
    FaultDeployment deployment = new FaultDeployment(2_000 + seed);
    deployment.users.queryAllControllersOnChange = seed % 2 == 0;
    for (int i = 0; i < 3; i++) {
      FaultCombination combination =
          FaultCombination.values()[
              deployment.cluster.random.nextInt(FaultCombination.values().length)];
      combination.scenario.run(deployment);
      // More faults follow, so the checks that apply only after all faults have ended are turned
      // off.
      deployment.cluster.faultsEndedAtMicros = Long.MAX_VALUE;
    }
    deployment.endFaults();
    deployment.cluster.invariants.checkJobsServed();
    assertEquals(List.of(), deployment.cluster.invariants.violations);
  }

  /**
   * Verifies that the invariant checks report violations if the state service applies late
   * transactions without checking their preconditions.
   */
  @Test
  void withoutPreconditionsLateTransactionsViolateRules() {
    FaultDeployment deployment = new FaultDeployment(3_003);
    deployment.cluster.store.ignorePreconditions = true;
    deployment.cluster.store.lateWriteShare = 0.5;
    FaultCombination.CANCELLATIONS_QUERIES_AND_RESUBMISSIONS_AT_JOB_COMPLETION.scenario.run(
        deployment);
    assertTrue(
        !deployment.cluster.invariants.violations.isEmpty(),
        "the checks must report violations without preconditions");
  }

  /**
   * Verifies that the invariant checks report a violation if a user queries a job after its final
   * state was reported and the response shows an earlier state, or does not know the job. A query
   * sent before that report may return the earlier state.
   */
  @Test
  void theCheckerReportsAnOlderResponse() {
    FaultDeployment deployment = new FaultDeployment(3_001);
    String uid = deployment.jobs.get(0).uid();
    deployment.cluster.invariants.checkResponse(uid, "aborted", deployment.cluster.now());
    deployment.cluster.invariants.checkResponse(uid, "running", deployment.cluster.now() - 1);
    assertEquals(
        List.of(),
        deployment.cluster.invariants.violations,
        "a query sent before the final state was reported may get an older response");
    deployment.cluster.invariants.checkResponse(uid, "running", deployment.cluster.now());
    assertTrue(
        deployment.cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("went_back")));
    deployment.cluster.invariants.checkResponse(uid, null, deployment.cluster.now());
    assertTrue(
        deployment.cluster.invariants.violations.stream().anyMatch(b -> b.startsWith("forgotten")));
  }

  /**
   * Verifies that the invariant checks report a job that waits although a suitable machine has free
   * capacity.
   */
  @Test
  void theCheckerReportsAJobThatWaitsDespiteFreeCapacity() {
    FaultDeployment deployment = new FaultDeployment(3_002);
    deployment.cluster.runFor(120);
    deployment.cluster.faultsEndedAtMicros = deployment.cluster.now();
    JobSpec job = TestJob.job(deployment.users.nextUid()).memoryGb(2).runS(5).build();
    deployment.cluster.invariants.submitted.put(job.uid(), job);
    deployment.cluster.invariants.checkResponse(job.uid(), "pending", deployment.cluster.now());
    for (int i = 0; i < 20; i++) {
      deployment.submit("blue", 4, 1, 8, false);
      deployment.cluster.runFor(6);
    }
    assertTrue(
        deployment.cluster.invariants.violations.stream()
            .anyMatch(b -> b.startsWith("waiting") && b.contains(job.uid())),
        "the waiting job must be reported: " + deployment.cluster.invariants.violations);
  }
}
