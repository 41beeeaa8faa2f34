package plumlever.wire;

/** Priorities of jobs, in order, the most urgent first. */
public enum Priority {
  /** Production work. */
  PROD("prod"),
  /** Urgent work. */
  HIGH("high"),
  /** Ordinary work. */
  STANDARD("standard"),
  /** Work for otherwise idle capacity. */
  IDLE("idle");

  private final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  /** Its name in submissions. */
  public String wireName() {
    return wireName;
  }

  /** The priority with that name in submissions. */
  public static Priority of(String name) throws InvalidMessageException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(name)) {
        return priority;
      }
    }
    throw new InvalidMessageException(ProtocolField.PRIORITY + " is unknown");
  }
}
