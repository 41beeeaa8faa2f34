package plumlever.lease;

import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * What the leader that owns a machine knows when it decides whether to renew the machine's lease.
 *
 * <p>The leader does not know which commands earlier leaders, or former owners of the machine, have
 * sent. Such a command can be executed until the machine has seen a token of this leader's term.
 * The response carries such a token, but the command may be executed before the response arrives;
 * the response would then prolong a task that it does not stop. So the lease is renewed only once
 * no such command can be executed, or if the task would end in time all the same.
 *
 * @param mayAct whether the leader may still act according to the clock; checked when the response
 *     is built
 * @param token the machine's current token, higher than that of every command that was not answered
 *     within its timeout
 * @param mayRunActiveJobs true if a task of a job that is not known to have ended is known to be on
 *     the machine: a heartbeat or the response to a direct call has listed it
 * @param endedJobsReadMicros time at which the last answered read of ended jobs was sent
 * @param unansweredCommands commands that may start tasks that the heartbeat does not list
 * @param earlierCommands start commands of earlier leaders or of a former owner that may still be
 *     executed
 * @param foreignTasks what is known of the tasks of other shards on the machine
 */
public record LeaderEvidence(
    BooleanSupplier mayAct,
    long token,
    boolean mayRunActiveJobs,
    long endedJobsReadMicros,
    UnansweredCommands unansweredCommands,
    UnansweredCommands earlierCommands,
    ForeignTaskEvidence foreignTasks)
    implements RenewalEvidence {

  @Override
  public Optional<RenewalRefusal> refusal(RenewalLimit limit, long nowMicros) {
    if (!mayAct.getAsBoolean()) {
      return Optional.of(RenewalRefusal.NOT_LEADING);
    }
    if (!ownTasksEndInTime(limit, nowMicros) || !foreignTasksEndInTime(limit, nowMicros)) {
      return Optional.of(RenewalRefusal.ENDED_JOBS_UNKNOWN);
    }
    if (!endInTime(unansweredCommands, limit, nowMicros)) {
      return Optional.of(RenewalRefusal.UNANSWERED_COMMAND);
    }
    if (!endInTime(earlierCommands, limit, nowMicros)) {
      return Optional.of(RenewalRefusal.EARLIER_TERM_COMMAND);
    }
    return Optional.empty();
  }

  private boolean ownTasksEndInTime(RenewalLimit limit, long nowMicros) {
    boolean mayRun = mayRunActiveJobs || unansweredCommands.exist();
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
  private static boolean endInTime(
      UnansweredCommands commands, RenewalLimit limit, long nowMicros) {
    return !commands.exist() || limit.mayRenew(nowMicros, commands.endedJobsReadMicros());
  }
}
