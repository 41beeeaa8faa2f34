package plumlever.fleet;

import org.agrona.collections.Long2ObjectHashMap;

/**
 * What may run on a machine: attempts of this shard's jobs, and tasks of other shards (foreign
 * tasks).
 */
public final class MachineLoad {
  private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();

  /** Attempts that are not over. */
  private int liveAttempts;

  /** Live attempts that a direct command started and no report has shown. */
  private int unconfirmedAttempts;

  private ForeignLoad foreignTasks = ForeignLoad.NONE;

  /** Attempts that the machine may still list, over or not. */
  public Iterable<Attempt> attempts() {
    return attempts.values();
  }

  /** The attempt with this number, or null. */
  public Attempt attempt(long attemptId) {
    return attempts.get(attemptId);
  }

  void add(Attempt attempt) {
    attempts.put(attempt.id(), attempt);
    liveAttempts++;
    unconfirmedAttempts += attempt.unconfirmed() ? 1 : 0;
  }

  /** An attempt that a direct command started was reported, or it is over. */
  void attemptConfirmed() {
    unconfirmedAttempts--;
  }

  /** An attempt is over. */
  void attemptEnded() {
    liveAttempts--;
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt.id());
  }

  /** True while a task may be on the machine, also one of another shard. */
  public boolean mayRunTasks() {
    return liveAttempts > 0 || foreignTasks.tasks() > 0;
  }

  /** How many tasks of this shard may be on it. */
  public int liveAttempts() {
    return liveAttempts;
  }

  /** True if the machine lists no attempt, as far as is known. */
  public boolean hasNoAttempts() {
    return attempts.isEmpty();
  }

  /** True while a direct command may have started an attempt that no report has shown. */
  public boolean hasUnconfirmedStart() {
    return unconfirmedAttempts > 0;
  }

  /** What tasks of other shards hold of the machine. */
  public ForeignLoad foreignTasks() {
    return foreignTasks;
  }

  /** Replaces what tasks of other shards hold of the machine. */
  public void setForeignTasks(ForeignLoad load) {
    foreignTasks = load;
  }
}
