package plumlever.wire;

/**
 * A message that breaks the protocol; the text names the field. It has neither stack trace nor
 * cause, since it is made for each such message and its text says everything.
 */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param reason what is wrong, as the sender is told
   */
  public InvalidMessageException(String reason) {
    super(reason, null, false, false);
  }
}
