package plumlever.wire;

/** Priorities, the most urgent first. */
public enum Priority {
  PROD("prod"),
  HIGH("high"),
  STANDARD("standard"),
  IDLE("idle");

  private final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  /** By its name in submissions. */
  public static Priority of(String name) throws InvalidMessageException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(name)) {
        return priority;
      }
    }
    throw new InvalidMessageException(ProtocolField.PRIORITY + " is unknown");
  }
}
