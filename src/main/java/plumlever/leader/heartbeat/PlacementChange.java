package plumlever.leader.heartbeat;

/** Remembers that a heartbeat changed something on which placement depends. */
final class PlacementChange {
  private boolean changed;

  void mark() {
    changed = true;
  }

  /** True if there was a change since the last call. */
  boolean getAndClear() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }
}
