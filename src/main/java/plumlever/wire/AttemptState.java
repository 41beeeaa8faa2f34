package plumlever.wire;

/** The state of an attempt as reported by the worker. */
public enum AttemptState {
  /** The machine is fetching the image. */
  FETCHING("pulling"),
  /** The task is running. */
  RUNNING("running"),
  /** The attempt has received a stop command and saves its work. */
  SAVING("flushing"),
  /** The attempt has ended; the worker reports it until a remove command arrives. */
  ENDED("ended");

  private final String wireName;

  AttemptState(String wireName) {
    this.wireName = wireName;
  }

  /** The name of the state in heartbeats. */
  public String wireName() {
    return wireName;
  }

  /** Returns the attempt state that has this name in heartbeats. */
  public static AttemptState of(String name) throws InvalidMessageException {
    for (AttemptState state : values()) {
      if (state.wireName.equals(name)) {
        return state;
      }
    }
    throw new InvalidMessageException("task status is unknown");
  }
}
