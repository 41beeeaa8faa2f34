package plumlever.wire;

/**
 * Thrown for a message that violates the protocol; the exception message names the field. The
 * exception has neither stack trace nor cause, because an instance is created for each invalid
 * message and the exception message is sufficient.
 */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param reason the violation, worded as in the response to the sender
   */
  public InvalidMessageException(String reason) {
    super(reason, null, false, false);
  }
}
