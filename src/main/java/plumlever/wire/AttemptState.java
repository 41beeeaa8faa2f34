package plumlever.wire;

/** What a worker says of a task. */
public enum AttemptState {
  FETCHING("pulling"),
  RUNNING("running"),
  SAVING("flushing"),
  ENDED("ended");

  private final String wireName;

  AttemptState(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  /** By its name in reports. */
  public static AttemptState of(String name) throws InvalidMessageException {
    for (AttemptState taskStatus : values()) {
      if (taskStatus.wireName.equals(name)) {
        return taskStatus;
      }
    }
    throw new InvalidMessageException("task status is unknown");
  }
}
