package plumlever.wire;

/** What users are told of a job. */
public enum JobState {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("aborted");

  private final String wireName;

  JobState(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
