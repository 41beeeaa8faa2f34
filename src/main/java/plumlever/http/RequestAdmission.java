package plumlever.http;

import java.util.Optional;
import plumlever.concurrent.EventLoop;
import plumlever.metrics.Metrics;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;

/** Limits the number of concurrent user requests, and records metrics of completed requests. */
final class RequestAdmission {
  private static final int MAX_OPEN_REQUESTS = 256;
  private static final int RETRY_AFTER_S = 1;

  private final EventLoop loop;
  private final Metrics metrics;
  private final ServingHealth health;
  private int openRequests;

  RequestAdmission(EventLoop loop, Metrics metrics, ServingHealth health) {
    this.loop = loop;
    this.metrics = metrics;
    this.health = health;
  }

  /**
   * Admits a request and counts it as open until its response is sent.
   *
   * @param kind prefix of the names of the metrics for these requests
   * @return the admitted request; empty if the request has been refused, because too many requests
   *     are open or because this controller has no sharing settings although the machines belong to
   *     a pool of shards
   */
  Optional<UserRequest> admit(String kind, ForwardedRequest request, Responder out) {
    if (health.ineligible()) {
      out.retryLater(
          HttpStatus.SERVICE_UNAVAILABLE, "this controller lacks the sharing file", RETRY_AFTER_S);
      return Optional.empty();
    }
    if (openRequests >= MAX_OPEN_REQUESTS) {
      metrics.count("users_turned_away");
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "too many requests", RETRY_AFTER_S);
      return Optional.empty();
    }
    openRequests++;
    long admittedMicros = loop.nowMicros();
    return Optional.of(
        new UserRequest(request, out, status -> recordResponse(kind, admittedMicros, status)));
  }

  private void recordResponse(String kind, long admittedMicros, int status) {
    openRequests--;
    metrics.recordDuration(kind, loop.nowMicros() - admittedMicros);
    if (status >= HttpStatus.MIN_SERVER_ERROR || status == HttpStatus.TOO_MANY_REQUESTS) {
      metrics.count(kind + "_refused");
    }
  }
}
