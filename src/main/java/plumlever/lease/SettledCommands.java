package plumlever.lease;

import java.util.Set;

/**
 * What a leader has reported about direct start commands (start commands sent in calls to workers):
 * when it reported, no start that it or an earlier leader had sent was unanswered, except on the
 * machines named. A start to any other machine that may still be executed was therefore sent later,
 * after a later read of ended jobs than the one named, whichever leader sent it.
 *
 * <p>A report is never wrong later on, it only gets old.
 *
 * @param endedJobsReadMicros a time at or before the sending of the leader's last read of ended
 *     jobs before the report, on this controller's monotonic clock
 * @param unsettledMachines ids of the machines that may execute unanswered starts sent earlier
 */
public record SettledCommands(long endedJobsReadMicros, Set<String> unsettledMachines) {
  /**
   * A time before all other times, far enough from the limits of the type that adding or
   * subtracting a duration does not overflow.
   */
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 4;

  private static final UnansweredCommands ANY_TIME =
      UnansweredCommands.sentAfter(DISTANT_PAST_MICROS);

  /** Nothing is known of the commands of earlier leaders. */
  public static final SettledCommands UNKNOWN = new SettledCommands(DISTANT_PAST_MICROS, Set.of());

  /** Returns the start commands that the machine may still execute. */
  public UnansweredCommands unansweredOn(String machine) {
    return unsettledMachines.contains(machine)
        ? ANY_TIME
        : UnansweredCommands.sentAfter(endedJobsReadMicros);
  }
}
