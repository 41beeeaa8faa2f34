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

  /** By its name in reports. */
  public static TaskStatus of(String name) throws InvalidMessage {
    for (TaskStatus taskStatus : values()) {
      if (taskStatus.wireName.equals(name)) {
        return taskStatus;
      }
    }
    throw new InvalidMessage("task status is unknown");
  }
}
