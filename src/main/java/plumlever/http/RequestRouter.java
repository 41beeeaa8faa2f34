package plumlever.http;

import plumlever.concurrent.EventLoop;
import plumlever.metrics.Metrics;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/**
 * Routes the requests of users, workers and health checks by path, and checks their HTTP method.
 */
public final class RequestRouter implements Server.RequestHandler {
  private static final String JOB_PREFIX = ProtocolPath.SUBMISSIONS + "/";

  private final EventLoop clock;
  private final UserApi users;
  private final HeartbeatEndpoint heartbeats;
  private final ServingHealth health;
  private final Metrics metrics;

  /** Creates a router for the given handlers. */
  public RequestRouter(
      EventLoop clock,
      UserApi users,
      HeartbeatEndpoint heartbeats,
      ServingHealth health,
      Metrics metrics) {
    this.clock = clock;
    this.users = users;
    this.heartbeats = heartbeats;
    this.health = health;
    this.metrics = metrics;
  }

  @Override
  public void handle(String method, String pathAndQuery, byte[] body, Responder out) {
    long startMicros = clock.nowMicros();
    route(method, removeQuery(pathAndQuery), body, out);
    metrics.recordWork(
        pathAndQuery.equals(ProtocolPath.HEARTBEAT) ? "heartbeats" : "users",
        clock.nowMicros() - startMicros);
  }

  private static String removeQuery(String pathAndQuery) {
    int queryStart = pathAndQuery.indexOf('?');
    return queryStart < 0 ? pathAndQuery : pathAndQuery.substring(0, queryStart);
  }

  private void route(String method, String path, byte[] body, Responder out) {
    if (path.equals(ProtocolPath.HEARTBEAT)) {
      if (checkMethod(method, "POST", out)) {
        heartbeats.handle(body, out);
      }
    } else if (path.equals(ProtocolPath.HEALTH)) {
      if (checkMethod(method, "GET", out)) {
        respondHealth(out);
      }
    } else if (path.equals(ProtocolPath.SUBMISSIONS)) {
      if (checkMethod(method, "POST", out)) {
        users.submit(body, out);
      }
    } else if (path.startsWith(JOB_PREFIX)) {
      routeJob(method, path.substring(JOB_PREFIX.length()), out);
    } else {
      out.error(HttpStatus.NOT_FOUND, "no such path");
    }
  }

  /**
   * @param path the part of the request path after the common prefix of all job paths: a job id,
   *     optionally followed by the cancellation suffix
   */
  private void routeJob(String method, String path, Responder out) {
    if (path.endsWith(ProtocolPath.CANCEL_SUFFIX)) {
      if (checkMethod(method, "POST", out)) {
        users.cancel(path.substring(0, path.length() - ProtocolPath.CANCEL_SUFFIX.length()), out);
      }
    } else if (path.indexOf('/') >= 0) {
      out.error(HttpStatus.NOT_FOUND, "no such path");
    } else if (checkMethod(method, "GET", out)) {
      users.poll(path, out);
    }
  }

  private static boolean checkMethod(String method, String expectedMethod, Responder out) {
    if (method.equals(expectedMethod)) {
      return true;
    }
    out.error(HttpStatus.METHOD_NOT_ALLOWED, "only " + expectedMethod + " is served here");
    return false;
  }

  private void respondHealth(Responder out) {
    if (health.canTakeRequests()) {
      out.send(HttpStatus.OK, "{}");
    } else {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "can't take requests", 1);
    }
  }
}
