package plumlever.lease;

/**
 * What the leader that owns a machine knows about the foreign tasks (tasks of other shards) on it
 * when it decides whether to renew the machine's lease.
 *
 * @param running true if a foreign task may be running on the machine, or may still be started
 *     there by its originating shard
 * @param endedJobsReadMicros the send time of the last answered read of a shard's ended jobs; with
 *     several originating shards, the oldest of these times
 */
public record ForeignTaskEvidence(boolean running, long endedJobsReadMicros) {
  /** Stands for a machine without foreign tasks (tasks of other shards). */
  public static final ForeignTaskEvidence NONE = new ForeignTaskEvidence(false, 0);
}
