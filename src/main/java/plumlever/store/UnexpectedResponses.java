package plumlever.store;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;

/**
 * Logs responses that cannot be read or that reject a request as malformed (400); only the first
 * one for each kind of request, to keep the log short.
 */
final class UnexpectedResponses {
  private final Logger log;
  private final Set<String> loggedKinds = new HashSet<>();

  UnexpectedResponses(Logger log) {
    this.log = log;
  }

  /**
   * Logs the response if it is the first one for this kind of request.
   *
   * @param detail the parse error, or the body of the response
   */
  void report(String method, String path, String detail) {
    String kind = method + " " + firstSegment(path);
    if (loggedKinds.add(kind)) {
      log.warn(
          "unexpected response of the state service to {} (logged once per kind of request): {}",
          kind,
          detail);
    }
  }

  private static String firstSegment(String path) {
    int end = 1;
    while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
      end++;
    }
    return path.substring(0, end);
  }
}
