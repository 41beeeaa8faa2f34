package plumlever.wire;

/** The state of a job as its user is told. */
public enum JobState {
  /** No task is running. */
  PENDING("pending"),
  /** Some task is running. */
  RUNNING("running"),
  /** All of its tasks have completed; final. */
  DONE("done"),
  /** Its user has cancelled it or a dependency; final. */
  CANCELLED("aborted");

  private final String wireName;

  JobState(String wireName) {
    this.wireName = wireName;
  }

  /** Its name in answers and records. */
  public String wireName() {
    return wireName;
  }

  /** True for a state that never changes. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
