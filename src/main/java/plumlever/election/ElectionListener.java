package plumlever.election;

/**
 * The callbacks from an election to its controller. They are called on the election loop and must
 * not block it.
 */
public interface ElectionListener {
  /** Called when a term of this controller has begun. */
  void elected(Term term);

  /** Called when a term of this controller has ended. */
  void steppedDown(Term term);

  /**
   * Runs the action on the controller loop; the election uses it to detect a stalled controller
   * loop.
   */
  void executeOnControllerLoop(Runnable action);
}
