package plumlever.lease;

/**
 * Starts sent straight to a machine of which nothing has been heard: each may be carried out until
 * the machine has shown a higher token than theirs or its incarnation has ended, whatever its
 * reports list.
 *
 * @param pending false if there are none
 * @param endsKnownMicros when the last read of ended jobs that was heard before they were sent had
 *     been sent: what was cancelled before it was not started
 */
public record UnansweredCommands(boolean pending, long endsKnownMicros) {
  /** Nothing is on its way to the machine that has not been heard of. */
  public static final UnansweredCommands NONE = new UnansweredCommands(false, 0);

  /** There are some. */
  public static UnansweredCommands sentAfter(long endsKnownMicros) {
    return new UnansweredCommands(true, endsKnownMicros);
  }
}
