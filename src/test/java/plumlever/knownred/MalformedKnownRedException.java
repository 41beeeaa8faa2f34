package plumlever.knownred;

/** The list of known red tests can't be used as it stands. */
final class MalformedKnownRedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedKnownRedException(String message) {
    super(message);
  }
}
