package plumlever.peer;

/** Thrown if a message received from a peer is not a valid status. */
public final class UnreadablePeerStatusException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UnreadablePeerStatusException(Throwable cause) {
    super("unreadable peer status", cause);
  }
}
