package plumlever.fleet;

import org.agrona.collections.Long2ObjectHashMap;

/** What may run on a machine: the attempts of this leader and the tasks of other cells. */
public final class MachineLoad {
  private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();

  /** Attempts that are not over. */
  private int liveAttempts;

  /** Those among them of which nothing has been heard since they were sent directly. */
  private int unconfirmedAttempts;

  private GuestLoad guests = GuestLoad.NONE;

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

  /** Something was heard of an attempt that was sent directly, or it is over. */
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

  /** True while a task may be on the machine, also one of another cell. */
  public boolean mayRunTasks() {
    return liveAttempts > 0 || guests.tasks() > 0;
  }

  /** How many tasks of this cell may be on it. */
  public int liveAttempts() {
    return liveAttempts;
  }

  /** True once every attempt that was ever on it has been forgotten. */
  public boolean hasNoAttempts() {
    return attempts.isEmpty();
  }

  /**
   * True while the machine may have started something that nothing has been heard of: a direct
   * command without an answer.
   */
  public boolean hasUnconfirmedStart() {
    return unconfirmedAttempts > 0;
  }

  /** What tasks of other cells hold of the machine. */
  public GuestLoad guests() {
    return guests;
  }

  public void setGuests(GuestLoad now) {
    guests = now;
  }
}
