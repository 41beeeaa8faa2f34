package plumlever.lease;

/**
 * What the owner of a machine knows of the jobs of other cells whose tasks may be on it.
 *
 * @param running true if such a task may run there, or still be started by its cell
 * @param endsKnownMicros when the oldest of the last answered reads of these cells' ended jobs had
 *     been sent
 */
public record GuestEvidence(boolean running, long endsKnownMicros) {
  /** The machine holds nothing of other cells. */
  public static final GuestEvidence NONE = new GuestEvidence(false, 0);
}
