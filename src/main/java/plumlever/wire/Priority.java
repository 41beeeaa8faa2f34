package plumlever.wire;

/** Job priorities, declared from highest to lowest. */
public enum Priority {
  /** Production work. */
  PROD("prod"),
  /** Work of high priority. */
  HIGH("high"),
  /** Work of normal priority. */
  STANDARD("standard"),
  /** Work that uses otherwise idle capacity. */
  IDLE("idle");

  private final String wireName;

  Priority(String wireName) {
    this.wireName = wireName;
  }

  /** The priority's name in submissions. */
  public String wireName() {
    return wireName;
  }

  /** Returns the priority that has this name in submissions. */
  public static Priority of(String name) throws InvalidMessageException {
    for (Priority priority : values()) {
      if (priority.wireName.equals(name)) {
        return priority;
      }
    }
    throw new InvalidMessageException(ProtocolField.PRIORITY + " is unknown");
  }
}
