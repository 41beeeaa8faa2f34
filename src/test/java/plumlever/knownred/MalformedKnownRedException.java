package plumlever.knownred;

/** Thrown if the list of known failing tests is malformed or names a test that does not exist. */
final class MalformedKnownRedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedKnownRedException(String message) {
    super(message);
  }
}
