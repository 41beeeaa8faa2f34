package plumlever.lease;

/**
 * What the owner of a machine knows of the jobs of other shards whose tasks may be on it.
 *
 * @param running true if such a task may run there, or still be started by its shard
 * @param endsKnownMicros when the oldest of the last answered reads of these shards' ended jobs had
 *     been sent
 */
public record ForeignTaskEvidence(boolean running, long endsKnownMicros) {
  /** The machine holds nothing of other shards. */
  public static final ForeignTaskEvidence NONE = new ForeignTaskEvidence(false, 0);
}
