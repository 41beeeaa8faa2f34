package plumlever.wire;

/**
 * The name of a task, such as {@code job-000412/3}.
 *
 * @param job the id of its job
 * @param number of the task within the job, from 0 on
 */
public record TaskName(String job, int number) {
  /** Reads a name as {@link #wireName} writes it. */
  public static TaskName of(String text) throws InvalidMessageException {
    int slash = text.lastIndexOf('/');
    if (slash <= 0 || slash == text.length() - 1) {
      throw new InvalidMessageException(ProtocolField.TASK + " must be JOB/NUMBER");
    }
    try {
      int number = Integer.parseInt(text, slash + 1, text.length(), 10);
      if (number < 0) {
        throw new InvalidMessageException(ProtocolField.TASK + " number is negative");
      }
      return new TaskName(text.substring(0, slash), number);
    } catch (NumberFormatException e) {
      throw new InvalidMessageException(ProtocolField.TASK + " must end in a number");
    }
  }

  /** The name as messages and logs have it. */
  public String wireName() {
    return job + "/" + number;
  }
}
