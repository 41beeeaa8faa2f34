package plumlever.cli;

/** The exit codes of the process. */
final class ExitCode {
  /** It ended as asked. */
  static final int OK = 0;

  /** It could not start, or a drill failed. */
  static final int FAILED = 1;

  /** Arguments or settings are wrong. */
  static final int WRONG_USAGE = 2;

  /** In place of an exit code: the process runs until it is killed. */
  static final int RUNNING = -1;

  private ExitCode() {}
}
