package plumlever.lease;

/**
 * The start commands sent in direct calls to a machine that have not been answered. The worker may
 * execute each of these commands until it has reported a higher token than the command's or its
 * incarnation has ended, whether or not its heartbeats list the task.
 *
 * @param exist true if there are unanswered commands
 * @param endedJobsReadMicros the time at which the last read of ended jobs that was answered before
 *     the commands were sent was itself sent; the commands start no task of a job cancelled before
 *     that time
 */
public record UnansweredCommands(boolean exist, long endedJobsReadMicros) {
  /** No command to the machine is unanswered. */
  public static final UnansweredCommands NONE = new UnansweredCommands(false, 0);

  /**
   * Describes unanswered commands that were sent after the answer to the read of ended jobs sent at
   * this time.
   */
  public static UnansweredCommands sentAfter(long endedJobsReadMicros) {
    return new UnansweredCommands(true, endedJobsReadMicros);
  }
}
