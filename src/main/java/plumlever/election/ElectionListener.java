package plumlever.election;

/**
 * The callbacks from leader election to the rest of the controller. They are called on the election
 * loop and must not block it.
 */
public interface ElectionListener {
  /** Called when this controller has become leader. */
  void elected(Term term);

  /** Called when this controller is no longer leader. */
  void steppedDown(Term term);

  /**
   * Runs the action on the controller loop. Leader election measures how soon the action runs, to
   * detect that the controller loop has stalled.
   */
  void executeOnControllerLoop(Runnable action);
}
