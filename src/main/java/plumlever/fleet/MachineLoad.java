package plumlever.fleet;

import org.agrona.collections.Long2ObjectHashMap;

/**
 * The tasks that may run on a machine: attempts of this shard's jobs, and tasks of other shards
 * (foreign tasks).
 */
public final class MachineLoad {
  private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();

  /** Number of attempts on the machine that have not ended. */
  private int liveAttempts;

  /**
   * Number of live attempts that a direct command (sent in a call to the worker) started and no
   * heartbeat has listed yet.
   */
  private int unconfirmedAttempts;

  private ForeignLoad foreignTasks = ForeignLoad.NONE;

  /**
   * This shard's attempts that the machine's heartbeats may list, including attempts that have
   * ended.
   */
  public Iterable<Attempt> attempts() {
    return attempts.values();
  }

  public Attempt attempt(long attemptId) {
    return attempts.get(attemptId);
  }

  void add(Attempt attempt) {
    attempts.put(attempt.id(), attempt);
    liveAttempts++;
    unconfirmedAttempts += attempt.unconfirmed() ? 1 : 0;
  }

  /**
   * Records that a heartbeat has listed an attempt that a direct command (sent in a call to the
   * worker) started, or that such an attempt has ended.
   */
  void recordConfirmedAttempt() {
    unconfirmedAttempts--;
  }

  void recordEndedAttempt() {
    liveAttempts--;
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt.id());
  }

  /** True while a task of this shard or a foreign task may be on the machine. */
  public boolean mayRunTasks() {
    return liveAttempts > 0 || foreignTasks.tasks() > 0;
  }

  /** The number of this shard's tasks that may be on the machine. */
  public int liveAttempts() {
    return liveAttempts;
  }

  /** True if the heartbeats of the machine are not expected to list any attempt of this shard. */
  public boolean hasNoAttempts() {
    return attempts.isEmpty();
  }

  /**
   * True while a direct command (sent in a call to the worker) may have started an attempt that no
   * heartbeat has listed yet.
   */
  public boolean hasUnconfirmedStart() {
    return unconfirmedAttempts > 0;
  }

  /** The resources that foreign tasks use on the machine. */
  public ForeignLoad foreignTasks() {
    return foreignTasks;
  }

  /** Replaces the resources that foreign tasks use on the machine. */
  public void setForeignTasks(ForeignLoad load) {
    foreignTasks = load;
  }
}
