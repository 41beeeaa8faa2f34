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

/** Tests how heartbeats change attempts and machines, and which commands the responses carry. */
final class HeartbeatHandlerTest {
  private static final TaskName TASK = new TaskName(JOB, 0);

  private final HeartbeatFixture fixture = new HeartbeatFixture();

  private List<WorkerCommand> commandsFor(Heartbeat heartbeat) {
    return fixture.handler.stopAndRemoveCommands(fixture.machine, heartbeat);
  }

  private HeartbeatHandler.Freshness apply(Heartbeat heartbeat) {
    return fixture.handler.apply(fixture.machine, heartbeat, HeartbeatSource.WORKER);
  }

  @Test
  void aHeartbeatReceivedTwiceIsADuplicate() {
    Heartbeat heartbeat = fixture.heartbeat();
    apply(heartbeat);

    assertEquals(HeartbeatHandler.Freshness.DUPLICATE, apply(heartbeat));
  }

  @Test
  void aHeartbeatOlderThanADirectResponseIsSuperseded() {
    fixture.accounted();
    Heartbeat sentFirst = fixture.heartbeat();
    fixture.handler.apply(fixture.machine, fixture.heartbeat(), HeartbeatSource.DIRECT_RESPONSE);

    assertEquals(HeartbeatHandler.Freshness.SUPERSEDED, apply(sentFirst));
  }

  @Test
  void theHeartbeatThatAccountsForAMachineAdoptsAttemptsOfEarlierTerms() {
    long earlier = HeartbeatFixture.attemptOfEarlierTerm();

    apply(fixture.heartbeat(running(0, earlier)));

    assertNotNull(fixture.job.liveAttempt(0));
    assertEquals(earlier, fixture.job.liveAttempt(0).id());
  }

  /**
   * Once the leader knows all attempts on a machine, an unknown attempt in a heartbeat is not
   * adopted. The heartbeat may be an old one that was delayed until the lease expired and the
   * worker killed the task.
   */
  @Test
  void anAttemptOfAnEarlierTermIsNotAdoptedFromAnAccountedMachine() {
    fixture.accounted();

    apply(fixture.heartbeat(running(0, HeartbeatFixture.attemptOfEarlierTerm())));

    assertNull(fixture.job.liveAttempt(0));
  }

  @Test
  void aHeartbeatWithATokenOfAnEarlierTermAdoptsNoAttempts() {
    apply(fixture.heartbeatWithToken(1, running(0, HeartbeatFixture.attemptOfEarlierTerm())));

    assertNull(fixture.job.liveAttempt(0));
    assertFalse(fixture.machine.accounted());
  }

  @Test
  void aStartInAResponseHasEndedWhenTheNextHeartbeatLacksIt() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.HEARTBEAT_RESPONSE);

    apply(fixture.heartbeat());

    assertTrue(attempt.hasEnded());
  }

  /**
   * A start command sent in a heartbeat response may still arrive after the worker has answered a
   * direct call (one from the leader to the worker).
   */
  @Test
  void aStartInAResponseHasNotEndedWhenADirectResponseLacksIt() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.HEARTBEAT_RESPONSE);

    fixture.handler.apply(fixture.machine, fixture.heartbeat(), HeartbeatSource.DIRECT_RESPONSE);

    assertFalse(attempt.hasEnded());
  }

  @Test
  void anUnansweredDirectStartHasNotEndedWhileItsTokenIsCurrent() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.DIRECT_COMMAND);

    apply(fixture.heartbeat());

    assertFalse(attempt.hasEnded());
  }

  @Test
  void anUnansweredDirectStartHasEndedOnceAHigherTokenIsShown() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.DIRECT_COMMAND);
    fixture.machine.tokens().fenceDirectCommands();

    apply(fixture.heartbeat());

    assertTrue(attempt.hasEnded());
  }

  /**
   * A worker whose lease expired kills its tasks, begins a new incarnation and rejects commands for
   * earlier ones. So an attempt whose start command is unanswered has ended as well.
   */
  @Test
  void aNewIncarnationEndsAllAttemptsOfEarlierOnes() {
    Attempt running = fixture.accounted().start(0, StartChannel.HEARTBEAT_RESPONSE);
    apply(fixture.heartbeat(running(0, running.id())));
    Attempt unanswered = fixture.start(1, StartChannel.DIRECT_COMMAND);

    apply(fixture.heartbeatOfNextIncarnation());

    assertTrue(running.hasEnded());
    assertTrue(unanswered.hasEnded());
  }

  @Test
  void aTaskOfACancelledJobIsStoppedByEveryResponse() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.HEARTBEAT_RESPONSE);
    fixture.job.confirmCancellation();

    for (int i = 0; i < 2; i++) {
      Heartbeat heartbeat = fixture.heartbeat(running(0, attempt.id()));
      apply(heartbeat);
      assertEquals(List.of(WorkerCommand.stop(TASK, attempt.id(), 0)), commandsFor(heartbeat));
    }
  }

  @Test
  void aCompletedAttemptStaysAtTheWorkerUntilItsResultIsStored() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.HEARTBEAT_RESPONSE);
    Heartbeat heartbeat = fixture.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);

    assertEquals(List.of(), commandsFor(heartbeat));
  }

  @Test
  void aCompletedAttemptIsRemovedOnceItsResultIsStored() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.HEARTBEAT_RESPONSE);
    Heartbeat heartbeat = fixture.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);
    fixture.job.storedTasks().set(0);

    assertEquals(List.of(WorkerCommand.remove(TASK, attempt.id())), commandsFor(heartbeat));
  }

  @Test
  void nothingIsRemovedWhileADirectCommandIsInFlight() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.DIRECT_COMMAND);
    fixture.machine.contact().setCommandInFlight(true);
    Heartbeat heartbeat = fixture.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);
    fixture.job.storedTasks().set(0);

    assertEquals(List.of(), commandsFor(heartbeat));
  }

  @Test
  void theResponseThatRemovesAnAttemptInvalidatesTheCommandThatStartedIt() {
    Attempt attempt = fixture.accounted().start(0, StartChannel.DIRECT_COMMAND);
    Heartbeat heartbeat = fixture.heartbeat(completed(0, attempt.id()));
    apply(heartbeat);
    fixture.job.storedTasks().set(0);

    List<WorkerCommand> commands = commandsFor(heartbeat);

    assertEquals(List.of(WorkerCommand.remove(TASK, attempt.id())), commands);
    assertTrue(fixture.machine.tokens().current() > attempt.directCommandToken());
  }

  @Test
  void aMachineIsUnreachableAfterTwoLostResponses() {
    fixture.accounted();
    for (int i = 0; i < 2; i++) {
      fixture.start(i, StartChannel.HEARTBEAT_RESPONSE);
      apply(fixture.heartbeat());
    }

    assertTrue(fixture.machine.contact().unreachable());
  }

  @Test
  void aMachineThatShowsTheLatestTokenIsReachableAgain() {
    fixture.accounted();
    for (int i = 0; i < 2; i++) {
      fixture.start(i, StartChannel.HEARTBEAT_RESPONSE);
      apply(fixture.heartbeat());
    }

    apply(fixture.heartbeat());

    assertFalse(fixture.machine.contact().unreachable());
  }
}
