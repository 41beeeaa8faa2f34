package plumlever.wire;

/** Why an attempt ended. In all cases but {@link #DONE} its task is not completed. */
public enum ExitCause {
  /** The task completed. */
  DONE("done"),
  /** It was told to stop. */
  STOPPED("halted"),
  /** The task failed. */
  ERROR("error"),
  /** The start was refused: not enough free resources on the machine. */
  FULL("full"),
  /** The start was refused: another attempt of the task is on the machine. */
  IN_USE("in_use"),
  /** The start was refused: there is no such job or task. */
  NO_SUCH("no_such"),
  /** Any cause that this version does not know. */
  OTHER("other");

  private final String wireName;

  ExitCause(String wireName) {
    this.wireName = wireName;
  }

  /** Its name in heartbeats. */
  public String wireName() {
    return wireName;
  }

  /** The cause with that name in heartbeats; {@link #OTHER} if it is not known. */
  public static ExitCause of(String name) {
    for (ExitCause cause : values()) {
      if (cause.wireName.equals(name)) {
        return cause;
      }
    }
    return OTHER;
  }
}
