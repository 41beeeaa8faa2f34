package plumlever.wire;

/** A message that breaks the protocol; the text names the field. */
public final class InvalidMessage extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidMessage(String reason) {
    super(reason, null, false, false);
  }
}
