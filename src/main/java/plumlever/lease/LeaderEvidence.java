package plumlever.lease;

import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * What the leader that owns a machine knows when it decides whether to renew the machine's lease.
 *
 * @param mayAct whether the leader may still act according to the clock; checked when the response
 *     is built
 * @param token the machine's current token, higher than that of every command that was not answered
 *     within its timeout
 * @param holdsTasksOfActiveJobs true if the heartbeat lists a task of a job that is not known to
 *     have ended
 * @param endedJobsReadMicros time at which the last answered read of ended jobs was sent
 * @param unansweredCommands commands that may start tasks that the heartbeat does not list
 * @param foreignTasks what is known of the tasks of other shards on the machine
 */
public record LeaderEvidence(
    BooleanSupplier mayAct,
    long token,
    boolean holdsTasksOfActiveJobs,
    long endedJobsReadMicros,
    UnansweredCommands unansweredCommands,
    ForeignTaskEvidence foreignTasks)
    implements RenewalEvidence {

  /**
   * Returns what the leader knows about a machine without tasks to which this leader has sent no
   * command.
   */
  public static LeaderEvidence ofIdleMachine(BooleanSupplier mayAct, long token) {
    return new LeaderEvidence(
        mayAct, token, false, 0, UnansweredCommands.NONE, ForeignTaskEvidence.NONE);
  }

  @Override
  public Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros) {
    if (!mayAct.getAsBoolean()) {
      return Optional.of(RenewalRefusal.NOT_LEADING);
    }
    if (!ownTasksEndInTime(limit, nowMicros) || !foreignTasksEndInTime(limit, nowMicros)) {
      return Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN);
    }
    if (!unansweredCommandsEndInTime(limit, nowMicros)) {
      return Optional.of(RenewalRefusal.UNANSWERED_COMMAND);
    }
    return Optional.empty();
  }

  private boolean ownTasksEndInTime(RenewalLimit limit, long nowMicros) {
    boolean mayRun = holdsTasksOfActiveJobs || unansweredCommands.exist();
    return !mayRun || limit.mayRenew(nowMicros, endedJobsReadMicros);
  }

  private boolean foreignTasksEndInTime(RenewalLimit limit, long nowMicros) {
    return !foreignTasks.running() || limit.mayRenew(nowMicros, foreignTasks.endedJobsReadMicros());
  }

  /**
   * Returns whether the tasks that unanswered commands may start would end in time if their jobs
   * were cancelled. The heartbeat does not list these tasks, so they are only certain to end when
   * the lease expires. The time limit is counted from the sending of the last read of ended jobs
   * that was answered before the commands were sent.
   */
  private boolean unansweredCommandsEndInTime(RenewalLimit limit, long nowMicros) {
    return !unansweredCommands.exist()
        || limit.mayRenew(nowMicros, unansweredCommands.endedJobsReadMicros());
  }
}
