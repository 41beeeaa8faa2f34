package plumlever.wire;

/** The state of a job as reported to the user. */
public enum JobState {
  /** No task is running. */
  PENDING("pending"),
  /** At least one task is running. */
  RUNNING("running"),
  /** All tasks have completed; final. */
  DONE("done"),
  /** The user cancelled the job or one of its dependencies; final. */
  CANCELLED("aborted");

  private final String wireName;

  JobState(String wireName) {
    this.wireName = wireName;
  }

  /** The state's name in responses to users and in stored records. */
  public String wireName() {
    return wireName;
  }

  /** True for a state that never changes. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
