package plumlever.wire;

/**
 * Why a task ended. OTHER stands for causes this version does not know: the attempt is over, the
 * task is not done.
 */
public enum ExitCause {
  DONE("done"),
  STOPPED("halted"),
  ERROR("error"),
  FULL("full"),
  IN_USE("in_use"),
  NO_SUCH("no_such"),
  OTHER("other");

  private final String wireName;

  ExitCause(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  /** By its name in reports. */
  public static ExitCause of(String name) {
    for (ExitCause exitCause : values()) {
      if (exitCause.wireName.equals(name)) {
        return exitCause;
      }
    }
    return OTHER;
  }
}
