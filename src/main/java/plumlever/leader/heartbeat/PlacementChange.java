package plumlever.leader.heartbeat;

/** Records whether a heartbeat has changed an input of placement. */
final class PlacementChange {
  private boolean changed;

  void mark() {
    changed = true;
  }

  /** Returns whether there was a change since the last call, and resets the flag. */
  boolean getAndClear() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }
}
