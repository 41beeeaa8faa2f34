package plumlever.lease;

/**
 * Commands to start tasks that were sent straight to a machine and have had no answer: each may be
 * carried out until the machine has shown a higher token than theirs or its incarnation has ended,
 * whatever its heartbeats list.
 *
 * @param pending false if there are none
 * @param endsKnownMicros when the last read of ended jobs that was answered before they were sent
 *     had been sent: what was cancelled before it was not started
 */
public record UnansweredCommands(boolean pending, long endsKnownMicros) {
  /** Every command to the machine has been answered, or none was sent. */
  public static final UnansweredCommands NONE = new UnansweredCommands(false, 0);

  /** There are some, sent after this read of ended jobs. */
  public static UnansweredCommands sentAfter(long endsKnownMicros) {
    return new UnansweredCommands(true, endsKnownMicros);
  }
}
