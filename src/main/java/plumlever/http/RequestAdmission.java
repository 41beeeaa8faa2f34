package plumlever.http;

import java.util.Optional;
import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;

/** Bounds the users' requests that are open at once, and measures those that are answered. */
final class RequestAdmission {
  private static final int MAX_OPEN_REQUESTS = 256;
  private static final int RETRY_AFTER_S = 1;

  private final Loop loop;
  private final Metrics metrics;
  private final ServingHealth health;
  private int open;

  RequestAdmission(Loop loop, Metrics metrics, ServingHealth health) {
    this.loop = loop;
    this.metrics = metrics;
    this.health = health;
  }

  /**
   * Counts a request while it is open.
   *
   * @param kind names the counters of such requests
   * @return nothing if the request has been refused: too many are open, or this controller may not
   *     answer
   */
  Optional<UserRequest> admit(String kind, ForwardedRequest request, Responder out) {
    if (health.ineligible()) {
      out.retryLater(
          HttpStatus.UNAVAILABLE, "this controller lacks the sharing file", RETRY_AFTER_S);
      return Optional.empty();
    }
    if (open >= MAX_OPEN_REQUESTS) {
      metrics.count("users_turned_away");
      out.retryLater(HttpStatus.UNAVAILABLE, "too many requests", RETRY_AFTER_S);
      return Optional.empty();
    }
    open++;
    long admittedMicros = loop.nowMicros();
    return Optional.of(
        new UserRequest(request, out, status -> answered(kind, admittedMicros, status)));
  }

  private void answered(String kind, long admittedMicros, int status) {
    open--;
    metrics.recordDuration(kind, loop.nowMicros() - admittedMicros);
    if (status >= HttpStatus.SERVER_ERRORS || status == HttpStatus.TOO_MANY_REQUESTS) {
      metrics.count(kind + "_refused");
    }
  }
}
