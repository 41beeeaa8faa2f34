package plumlever.leader.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static plumlever.leader.heartbeat.HeartbeatFixture.JOB;
import static plumlever.leader.heartbeat.HeartbeatFixture.completed;
import static plumlever.leader.heartbeat.HeartbeatFixture.running;

import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.fleet.Attempt;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.StartChannel;
import plumlever.wire.Heartbeat;
import plumlever.wire.TaskName;
import plumlever.wire.WorkerCommand;

/** Tests how heartbeats change attempts and machines, and which commands the answers carry. */
final class HeartbeatHandlerTest {
  private static final TaskName TASK = new TaskName(JOB, 0);

  private final HeartbeatFixture leader = new HeartbeatFixture();

  private List<WorkerCommand> commandsFor(Heartbeat heartbeat) {
    return leader.handler.stopAndRemoveCommands(leader.machine, heartbeat);
  }

  private HeartbeatHandler.Freshness apply(Heartbeat heartbeat) {
    return leader.handler.apply(leader.machine, heartbeat, HeartbeatSource.WORKER);
  }

  @Test
  void aHeartbeatReceivedTwiceIsADuplicate() {
    Heartbeat heartbeat = leader.heartbeat();
    apply(heartbeat);

    assertEquals(HeartbeatHandler.Freshness.DUPLICATE, apply(heartbeat));
  }

  @Test
  void aHeartbeatOlderThanADirectAnswerIsSuperseded() {
    leader.accounted();
    Heartbeat sentFirst = leader.heartbeat();
    leader.handler.apply(leader.machine, leader.heartbeat(), HeartbeatSource.DIRECT_REPLY);

    assertEquals(HeartbeatHandler.Freshness.SUPERSEDED, apply(sentFirst));
  }

  @Test
  void theHeartbeatThatAccountsForAMachineBringsAttemptsOfEarlierTerms() {
    long earlier = HeartbeatFixture.attemptOfEarlierTerm();

    apply(leader.heartbeat(running(0, earlier)));

    assertNotNull(leader.job.liveAttempt(0));
    assertEquals(earlier, leader.job.liveAttempt(0).id());
  }

  /**
   * The heartbeat may have been delayed until after the lease expired; the worker has then killed
   * the task.
   */
  @Test
  void anAttemptOfAnEarlierTermIsNotAdoptedFromAnAccountedMachine() {
    leader.accounted();

    apply(leader.heartbeat(running(0, HeartbeatFixture.attemptOfEarlierTerm())));

    assertNull(leader.job.liveAttempt(0));
  }

  @Test
  void aHeartbeatWithATokenOfAnEarlierTermBringsNoAttempts() {
    apply(leader.heartbeatWithToken(1, running(0, HeartbeatFixture.attemptOfEarlierTerm())));

    assertNull(leader.job.liveAttempt(0));
    assertFalse(leader.machine.accounted());
  }

  @Test
  void aStartInAnAnswerIsOverWhenTheNextHeartbeatLacksIt() {
    Attempt attempt = leader.accounted().start(0, StartChannel.HEARTBEAT_ANSWER);

    apply(leader.heartbeat());

    assertTrue(attempt.over());
  }

  /** The reply to a direct call does not show whether an answer in flight will arrive. */
  @Test
  void aStartInAnAnswerIsNotOverWhenADirectAnswerLacksIt() {
    Attempt attempt = leader.accounted().start(0, StartChannel.HEARTBEAT_ANSWER);

    leader.handler.apply(leader.machine, leader.heartbeat(), HeartbeatSource.DIRECT_REPLY);

    assertFalse(attempt.over());
  }

  @Test
  void anUnansweredDirectStartIsNotOverWhileItsTokenCounts() {
    Attempt attempt = leader.accounted().start(0, StartChannel.DIRECT_COMMAND);

    apply(leader.heartbeat());

    assertFalse(attempt.over());
  }

  @Test
  void anUnansweredDirectStartIsOverOnceAHigherTokenIsShown() {
    Attempt attempt = leader.accounted().start(0, StartChannel.DIRECT_COMMAND);
    leader.machine.tokens().voidDirectCommands();

    apply(leader.heartbeat());

    assertTrue(attempt.over());
  }

  /** Direct starts end as well: the worker rejects commands for an earlier incarnation. */
  @Test
  void aNewIncarnationEndsAllAttemptsOfEarlierOnes() {
    Attempt running = leader.accounted().start(0, StartChannel.HEARTBEAT_ANSWER);
    apply(leader.heartbeat(running(0, running.id())));
    Attempt unanswered = leader.start(1, StartChannel.DIRECT_COMMAND);

    apply(leader.heartbeatOfNextIncarnation());

    assertTrue(running.over());
    assertTrue(unanswered.over());
  }

  @Test
  void aTaskOfACancelledJobIsStoppedByEveryAnswer() {
    Attempt attempt = leader.accounted().start(0, StartChannel.HEARTBEAT_ANSWER);
    leader.job.confirmCancellation();

    for (int i = 0; i < 2; i++) {
      Heartbeat heartbeat = leader.heartbeat(running(0, attempt.id()));
      apply(heartbeat);
      assertEquals(List.of(WorkerCommand.stop(TASK, attempt.id(), 0)), commandsFor(heartbeat));
    }
  }

  @Test
  void aCompletedAttemptStaysAtTheWorkerUntilItsResultIsStored() {
    Attempt attempt = leader.accounted().start(0, StartChannel.HEARTBEAT_ANSWER);
    Heartbeat heartbeat = leader.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);

    assertEquals(List.of(), commandsFor(heartbeat));
  }

  @Test
  void aCompletedAttemptIsRemovedOnceItsResultIsStored() {
    Attempt attempt = leader.accounted().start(0, StartChannel.HEARTBEAT_ANSWER);
    Heartbeat heartbeat = leader.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);
    leader.job.storedTasks().set(0);

    assertEquals(List.of(WorkerCommand.remove(TASK, attempt.id())), commandsFor(heartbeat));
  }

  @Test
  void nothingIsRemovedWhileADirectCommandIsInFlight() {
    Attempt attempt = leader.accounted().start(0, StartChannel.DIRECT_COMMAND);
    leader.machine.contact().setCommandInFlight(true);
    Heartbeat heartbeat = leader.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);
    leader.job.storedTasks().set(0);

    assertEquals(List.of(), commandsFor(heartbeat));
  }

  @Test
  void theAnswerThatRemovesAnAttemptVoidsTheCommandThatStartedIt() {
    Attempt attempt = leader.accounted().start(0, StartChannel.DIRECT_COMMAND);
    Heartbeat heartbeat = leader.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);
    leader.job.storedTasks().set(0);

    List<WorkerCommand> commands = commandsFor(heartbeat);

    assertEquals(List.of(WorkerCommand.remove(TASK, attempt.id())), commands);
    assertTrue(leader.machine.tokens().current() > attempt.directCommandToken());
  }

  @Test
  void aMachineIsUnreachableAfterTwoLostAnswers() {
    leader.accounted();
    for (int i = 0; i < 2; i++) {
      leader.start(i, StartChannel.HEARTBEAT_ANSWER);
      apply(leader.heartbeat());
    }

    assertTrue(leader.machine.contact().unreachable());
  }

  @Test
  void aMachineThatShowsTheLatestTokenIsReachableAgain() {
    leader.accounted();
    for (int i = 0; i < 2; i++) {
      leader.start(i, StartChannel.HEARTBEAT_ANSWER);
      apply(leader.heartbeat());
    }

    apply(leader.heartbeat());

    assertFalse(leader.machine.contact().unreachable());
  }
}
