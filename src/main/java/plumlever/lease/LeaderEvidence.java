package plumlever.lease;

import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The evidence of the leader that owns the machine.
 *
 * @param mayAct the right to act, asked from the clock as the answer is built
 * @param token the machine's present token, above that of every command that has had no answer for
 *     its time
 * @param holdsOpenTasks true if the heartbeat lists a task of a job that is not known to have ended
 * @param endsKnownMicros when the last read of ended jobs that was answered had been sent
 * @param unanswered commands that may add to what the heartbeat lists
 * @param foreignTasks tasks of other shards
 */
public record LeaderEvidence(
    BooleanSupplier mayAct,
    long token,
    boolean holdsOpenTasks,
    long endsKnownMicros,
    UnansweredCommands unanswered,
    ForeignTaskEvidence foreignTasks)
    implements RenewalEvidence {

  /** Nothing runs on the machine, and no command of this term has been sent to it. */
  public static LeaderEvidence ofIdleMachine(BooleanSupplier mayAct, long token) {
    return new LeaderEvidence(
        mayAct, token, false, 0, UnansweredCommands.NONE, ForeignTaskEvidence.NONE);
  }

  @Override
  public Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros) {
    if (!mayAct.getAsBoolean()) {
      return Optional.of(RenewalRefusal.NOT_LEADING);
    }
    if (!tasksEndInTime(limit, nowMicros) || !foreignTasksEndInTime(limit, nowMicros)) {
      return Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN);
    }
    if (!unansweredEndInTime(limit, nowMicros)) {
      return Optional.of(RenewalRefusal.UNANSWERED_COMMAND);
    }
    return Optional.empty();
  }

  private boolean tasksEndInTime(RenewalLimit limit, long nowMicros) {
    boolean mayRun = holdsOpenTasks || unanswered.pending();
    return !mayRun || limit.mayRenew(nowMicros, endsKnownMicros);
  }

  private boolean foreignTasksEndInTime(RenewalLimit limit, long nowMicros) {
    return !foreignTasks.running() || limit.mayRenew(nowMicros, foreignTasks.endsKnownMicros());
  }

  /**
   * The heartbeat does not list what an unanswered command may add, so the lease must end in time
   * for every cancellation that came after the command was sent.
   */
  private boolean unansweredEndInTime(RenewalLimit limit, long nowMicros) {
    return !unanswered.pending() || limit.mayRenew(nowMicros, unanswered.endsKnownMicros());
  }
}
