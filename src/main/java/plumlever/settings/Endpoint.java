package plumlever.settings;

import java.util.Optional;

/** A network address: host and port. */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Parses {@code ADDRESS:PORT}; returns empty if the text has another form. */
  public static Optional<Endpoint> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(text, colon + 1, text.length(), 10);
      if (port < 0 || port > MAX_PORT) {
        return Optional.empty();
      }
      return Optional.of(new Endpoint(text.substring(0, colon), port));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  // Overrides the method that the compiler generates for a record. The generated one links method
  // handles at its first use, which slows down a cold start.
  @Override
  public boolean equals(Object object) {
    return object instanceof Endpoint endpoint
        && endpoint.port == port
        && endpoint.host.equals(host);
  }

  @Override
  public int hashCode() {
    return host.hashCode() * 31 + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
