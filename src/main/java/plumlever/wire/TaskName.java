package plumlever.wire;

/**
 * The name of a task: the job id and the index of the task, such as {@code job-000412/3}.
 *
 * @param job the id of the task's job
 * @param number the index of the task within the job, starting at 0
 */
public record TaskName(String job, int number) {
  /** Parses the name of a task in the form of {@link #wireName}. */
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

  /** The name of the task as written in messages and logs. */
  public String wireName() {
    return job + "/" + number;
  }
}
