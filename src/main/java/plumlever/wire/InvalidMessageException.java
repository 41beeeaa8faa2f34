package plumlever.wire;

/** A message that breaks the protocol; the text names the field. */
public final class InvalidMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidMessageException(String reason) {
    super(reason, null, false, false);
  }
}
