package plumlever.wire;

/** Why an attempt ended. The task is completed only if the cause is {@link #DONE}. */
public enum ExitCause {
  /** The task completed. */
  DONE("done"),
  /** The attempt ended after a stop command. */
  STOPPED("halted"),
  /** The task failed. */
  ERROR("error"),
  /** The worker refused the start: the machine lacks free resources. */
  FULL("full"),
  /** The worker refused the start: another attempt of the same task is on the machine. */
  IN_USE("in_use"),
  /** The worker refused the start: the job or task does not exist. */
  NO_SUCH("no_such"),
  /** A cause that this version does not know. */
  OTHER("other");

  private final String wireName;

  ExitCause(String wireName) {
    this.wireName = wireName;
  }

  /** The cause's name in heartbeats. */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the exit cause that has this name in heartbeats; {@link #OTHER} if the name is unknown.
   */
  public static ExitCause of(String name) {
    for (ExitCause cause : values()) {
      if (cause.wireName.equals(name)) {
        return cause;
      }
    }
    return OTHER;
  }
}
