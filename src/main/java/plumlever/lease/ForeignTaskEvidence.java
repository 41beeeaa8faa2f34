package plumlever.lease;

/**
 * The evidence of a machine's owner on the foreign tasks on the machine.
 *
 * @param running true if a foreign task may be running on the machine, or may still be started
 *     there by its originating shard
 * @param endedJobsReadMicros the send time of the last answered read of a shard's ended jobs; with
 *     several originating shards, the oldest of these times
 */
public record ForeignTaskEvidence(boolean running, long endedJobsReadMicros) {
  /** The evidence for a machine without foreign tasks. */
  public static final ForeignTaskEvidence NONE = new ForeignTaskEvidence(false, 0);
}
