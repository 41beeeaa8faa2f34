package plumlever.settings;

import java.util.Optional;

/** An address and port. */
public record Endpoint(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** The address and port that the text names; nothing if it is not {@code ADDRESS:PORT}. */
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

  // Written out: the generated methods link method handles at their first use, which is slow at a
  // cold start.
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
