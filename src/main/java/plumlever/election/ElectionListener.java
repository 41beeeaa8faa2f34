package plumlever.election;

/**
 * What the election needs of its controller: called on the election's own loop, which none of these
 * may hold up.
 */
public interface ElectionListener {
  /** A term of this controller has begun. */
  void elected(Term term);

  /** A term of this controller has ended. */
  void steppedDown(Term term);

  /** Runs the action on the controller's own loop, to find out whether that one still runs. */
  void executeOnControllerLoop(Runnable action);
}
