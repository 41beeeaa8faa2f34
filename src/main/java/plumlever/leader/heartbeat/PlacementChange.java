package plumlever.leader.heartbeat;

/**
 * Records whether a heartbeat has changed an input of task placement, such as the free capacity of
 * a machine.
 */
final class PlacementChange {
  private boolean changed;

  void mark() {
    changed = true;
  }

  /**
   * Returns whether an input of placement has changed since the last call; clears the record of the
   * change.
   */
  boolean getAndClear() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }
}
