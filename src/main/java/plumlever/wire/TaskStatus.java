package plumlever.wire;

/** What a worker says of a task. */
public enum TaskStatus {
  PULLING("pulling"),
  RUNNING("running"),
  FLUSHING("flushing"),
  ENDED("ended");

  private final String wireName;

  TaskStatus(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  public static TaskStatus of(String name) throws InvalidMessage {
    for (TaskStatus s : values()) {
      if (s.wireName.equals(name)) {
        return s;
      }
    }
    throw new InvalidMessage("task status is unknown");
  }
}
