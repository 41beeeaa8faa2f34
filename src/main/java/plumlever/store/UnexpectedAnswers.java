package plumlever.store;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;

/** Logs answers that can't be understood, once for each kind of request. */
final class UnexpectedAnswers {
  private final Logger log;
  private final Set<String> loggedKinds = new HashSet<>();

  UnexpectedAnswers(Logger log) {
    this.log = log;
  }

  /**
   * An answer that can't be understood.
   *
   * @param what the problem, or the answer itself
   */
  void report(String method, String path, String what) {
    String kind = method + " " + firstSegment(path);
    if (loggedKinds.add(kind)) {
      log.warn("state service gave a surprising answer to {}: {}", kind, what);
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
