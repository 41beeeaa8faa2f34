package plumlever.peer;

/** What came as a peer's status can't be read as one. */
public final class UnreadablePeerStatusException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UnreadablePeerStatusException(Throwable cause) {
    super("a peer's status can't be read", cause);
  }
}
