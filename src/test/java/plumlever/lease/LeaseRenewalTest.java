package plumlever.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import plumlever.fleet.Fleet;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.WorkerCommand;

/** Tests that only one class renews workers' leases, and under which conditions it refuses to. */
final class LeaseRenewalTest {
  private static final long LEASE_MICROS = 26_000_000;
  private static final long CANCEL_MICROS = 56_000_000;
  private static final long NOW_MICROS = 1_000_000_000L;
  private static final long TOKEN = Fleet.firstToken(5) + 3;

  private final LeaseRenewal renewal =
      new LeaseRenewal(
          new RenewalLimit(
              new PlatformConfiguration.Workers(3_000_000, LEASE_MICROS, CANCEL_MICROS)));

  private static DelegateEvidence delegate(long reported, long validUntil, long endedJobsRead) {
    return new DelegateEvidence(TOKEN, reported, validUntil, endedJobsRead);
  }

  private Optional<RenewalRefusal> refusal(RenewalEvidence evidence) {
    return renewal.refusal(evidence, NOW_MICROS);
  }

  @Test
  void aDelegatesResponseCarriesTheDelegationsToken() {
    RenewalDecision decision =
        renewal.decide(delegate(TOKEN, NOW_MICROS + 1, NOW_MICROS), List.of(), NOW_MICROS);
    assertEquals(
        WorkerCommand.heartbeatResponse(TOKEN, List.of()),
        assertInstanceOf(RenewalDecision.Renewed.class, decision).body());
  }

  private static Stream<Arguments> insufficientEvidenceOfADelegate() {
    return Stream.of(
        Arguments.of(RenewalRefusal.DELEGATION_OVER, delegate(TOKEN, NOW_MICROS, NOW_MICROS)),
        Arguments.of(
            RenewalRefusal.OTHER_TERM, delegate(Fleet.firstToken(4), NOW_MICROS + 1, NOW_MICROS)),
        Arguments.of(
            RenewalRefusal.TOKEN_NOT_SUFFICIENT, delegate(TOKEN + 1, NOW_MICROS + 1, NOW_MICROS)),
        Arguments.of(
            RenewalRefusal.UNANSWERED_COMMAND, delegate(TOKEN - 2, NOW_MICROS + 1, NOW_MICROS)),
        Arguments.of(
            RenewalRefusal.ENDED_JOBS_UNKNOWN,
            delegate(TOKEN, NOW_MICROS + 1, NOW_MICROS - CANCEL_MICROS)));
  }

  @ParameterizedTest
  @MethodSource("insufficientEvidenceOfADelegate")
  void aDelegateRefusesWithoutSufficientEvidence(
      RenewalRefusal refusal, DelegateEvidence evidence) {
    assertEquals(Optional.of(refusal), refusal(evidence));
  }

  @Test
  void aDelegateRenewsWithSufficientEvidence() {
    assertEquals(Optional.empty(), refusal(delegate(TOKEN, NOW_MICROS + 1, NOW_MICROS)));
  }

  @Test
  void aLeaderThatMayNotActRenewsNothing() {
    assertEquals(
        Optional.of(RenewalRefusal.NOT_LEADING),
        refusal(
            new LeaderEvidence(
                () -> false,
                TOKEN,
                false,
                NOW_MICROS,
                UnansweredCommands.NONE,
                UnansweredCommands.NONE,
                ForeignTaskEvidence.NONE)));
  }

  @Test
  void aLeaderThatMayActRenewsForAnIdleMachine() {
    assertEquals(Optional.empty(), refusal(leader(false, 0, UnansweredCommands.NONE)));
  }

  @Test
  void aMachineThatALeaderReportedAsUnsettledMayExecuteAnyCommand() {
    SettledCommands settled = new SettledCommands(NOW_MICROS, Set.of("i-1"));
    assertTrue(settled.unansweredOn("i-1").endedJobsReadMicros() < 0);
    assertEquals(NOW_MICROS, settled.unansweredOn("i-2").endedJobsReadMicros());
  }

  /** Guards against a renewal that prolongs a task which an earlier leader's command starts. */
  @Test
  void aPossibleCommandOfAnEarlierLeaderPreventsRenewalAlthoughNoTaskIsListed() {
    assertEquals(
        Optional.of(RenewalRefusal.EARLIER_TERM_COMMAND),
        refusal(
            new LeaderEvidence(
                () -> true,
                TOKEN,
                false,
                NOW_MICROS,
                UnansweredCommands.NONE,
                SettledCommands.UNKNOWN.unansweredOn("i-1"),
                ForeignTaskEvidence.NONE)));
  }

  /**
   * Heartbeats may not list a task whose start command is unanswered, yet the worker may still
   * start the task.
   */
  @Test
  void anUnansweredCommandCanPreventRenewalAlthoughNoTaskIsListed() {
    assertEquals(
        Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN),
        refusal(
            leader(false, NOW_MICROS - CANCEL_MICROS, UnansweredCommands.sentAfter(NOW_MICROS))));
    assertEquals(
        Optional.of(RenewalRefusal.UNANSWERED_COMMAND),
        refusal(
            leader(
                false,
                NOW_MICROS,
                UnansweredCommands.sentAfter(NOW_MICROS - CANCEL_MICROS + LEASE_MICROS))));
  }

  @Test
  void anUnansweredCommandSentAfterARecentReadIsNoReasonToRefuse() {
    assertEquals(
        Optional.empty(),
        refusal(leader(false, NOW_MICROS, UnansweredCommands.sentAfter(NOW_MICROS))));
  }

  @Test
  void anOldReadIsNoReasonToRefuseIfNoTaskMayRun() {
    assertEquals(
        Optional.empty(),
        refusal(leader(false, NOW_MICROS - CANCEL_MICROS, UnansweredCommands.NONE)));
  }

  private static LeaderEvidence leader(
      boolean hasUnfinishedAttempts, long endedJobsRead, UnansweredCommands unanswered) {
    return new LeaderEvidence(
        () -> true,
        TOKEN,
        hasUnfinishedAttempts,
        endedJobsRead,
        unanswered,
        UnansweredCommands.NONE,
        ForeignTaskEvidence.NONE);
  }

  @Test
  void foreignTasksAreEvaluatedByTheReadsOfTheirOriginatingShards() {
    ForeignTaskEvidence unknown = new ForeignTaskEvidence(true, NOW_MICROS - CANCEL_MICROS);
    assertEquals(
        Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN),
        refusal(
            new LeaderEvidence(
                () -> true,
                TOKEN,
                false,
                NOW_MICROS,
                UnansweredCommands.NONE,
                UnansweredCommands.NONE,
                unknown)));
  }

  /**
   * Compares renewals with a reference model on random input. A job may have been cancelled right
   * after the last read of ended jobs. A renewed lease must expire less than {@code CANCEL_MICROS}
   * after that read if a task of the job may be on the machine.
   */
  @Test
  void aLeadersRenewalAgreesWithTheReferenceModel() {
    SplittableRandom random = new SplittableRandom(31);
    int renewed = 0;
    for (int i = 0; i < 20_000; i++) {
      boolean listed = random.nextBoolean();
      boolean unanswered = random.nextBoolean();
      boolean foreignTask = random.nextBoolean();
      boolean earlierCommand = random.nextBoolean();
      long readBeforeReport = NOW_MICROS - random.nextLong(2 * CANCEL_MICROS);
      long endedJobsRead = NOW_MICROS - random.nextLong(2 * CANCEL_MICROS);
      long readBeforeCommand = NOW_MICROS - random.nextLong(2 * CANCEL_MICROS);
      long foreignJobsRead = NOW_MICROS - random.nextLong(2 * CANCEL_MICROS);
      LeaderEvidence evidence =
          new LeaderEvidence(
              () -> true,
              TOKEN,
              listed,
              endedJobsRead,
              unanswered
                  ? UnansweredCommands.sentAfter(readBeforeCommand)
                  : UnansweredCommands.NONE,
              earlierCommand
                  ? new SettledCommands(readBeforeReport, Set.of()).unansweredOn("i-1")
                  : UnansweredCommands.NONE,
              foreignTask
                  ? new ForeignTaskEvidence(true, foreignJobsRead)
                  : ForeignTaskEvidence.NONE);
      if (refusal(evidence).isEmpty()) {
        renewed++;
        long ends = NOW_MICROS + LEASE_MICROS;
        assertTrue(!earlierCommand || ends < readBeforeReport + CANCEL_MICROS);
        assertTrue(!listed || ends < endedJobsRead + CANCEL_MICROS);
        assertTrue(
            !unanswered
                || (ends < endedJobsRead + CANCEL_MICROS
                    && ends < readBeforeCommand + CANCEL_MICROS));
        assertTrue(!foreignTask || ends < foreignJobsRead + CANCEL_MICROS);
      }
    }
    assertTrue(
        renewed > 1_000, "expected more than 1000 renewals in 20000 random cases: " + renewed);
  }

  @Test
  void aWrittenRecordIsReadUnchanged() throws InvalidMessageException {
    DelegationRecord record = new DelegationRecord(5, Map.of("east", TOKEN, "west", TOKEN + 7));
    assertEquals(
        "{\"term\":5,\"zones\":[{\"zone\":\"east\",\"token\":5242883},"
            + "{\"zone\":\"west\",\"token\":5242890}]}",
        Json.write(record.write()));
    assertEquals(record, DelegationRecord.read(Json.parseObject(Json.write(record.write()))));
  }

  @Test
  void aRecordWithoutTokensDelegatesNothing() throws InvalidMessageException {
    for (String stored :
        List.of(
            "{}",
            "{\"term\":5,\"sites\":[\"east\"]}",
            "{\"term\":5,\"zones\":[{\"zone\":\"east\"},{\"token\":1},{\"zone\":\"east\",\"token\":\"x\"}]}")) {
      assertEquals(
          OptionalLong.empty(),
          DelegationRecord.read(Json.parseObject(stored)).tokenOf("east"),
          stored);
    }
  }

  /** Only {@code LeaseRenewal} may build heartbeat responses that renew a lease. */
  @Test
  void onlyLeaseRenewalBuildsResponsesThatRenew() {
    JavaClasses project =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("plumlever");
    ArchRuleDefinition.noClasses()
        .that()
        .doNotHaveFullyQualifiedName(LeaseRenewal.class.getName())
        .should()
        .callMethod(WorkerCommand.class, "heartbeatResponse", long.class, List.class)
        .check(project);
  }
}
