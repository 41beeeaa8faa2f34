package plumlever.cli;

/** The exit codes of the process. */
final class ExitCode {
  /** The command completed successfully. */
  static final int OK = 0;

  /** The controller failed to start, or a drill failed. */
  static final int FAILED = 1;

  /** The arguments or the settings are invalid. */
  static final int USAGE_ERROR = 2;

  /** Returned instead of an exit code: the controller runs until the process is terminated. */
  static final int RUNNING = -1;

  private ExitCode() {}
}
