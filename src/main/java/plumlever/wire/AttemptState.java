package plumlever.wire;

/** The state of an attempt as its worker reports it. */
public enum AttemptState {
  /** The machine fetches the image. */
  FETCHING("pulling"),
  /** The task runs. */
  RUNNING("running"),
  /** The attempt was told to stop and saves its work. */
  SAVING("flushing"),
  /** The attempt is over; the worker keeps it until it is told to remove it. */
  ENDED("ended");

  private final String wireName;

  AttemptState(String wireName) {
    this.wireName = wireName;
  }

  /** Its name in heartbeats. */
  public String wireName() {
    return wireName;
  }

  /** The state with that name in heartbeats. */
  public static AttemptState of(String name) throws InvalidMessageException {
    for (AttemptState state : values()) {
      if (state.wireName.equals(name)) {
        return state;
      }
    }
    throw new InvalidMessageException("task status is unknown");
  }
}
