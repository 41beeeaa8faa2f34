package plumlever.election;

/** Told on the election's own loop how this controller's terms begin and end. */
public interface ElectionListener {
  /** A term of this controller has begun. */
  void elected(Term term);

  /** A term of this controller has ended. */
  void steppedDown(Term term);

  /** Runs on the thread that decides, to see whether it still turns. */
  void executeOnControllerLoop(Runnable action);
}
