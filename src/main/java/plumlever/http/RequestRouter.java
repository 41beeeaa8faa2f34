package plumlever.http;

import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/**
 * Routes the requests of users, workers and health checks by path, and checks their HTTP method.
 */
public final class RequestRouter implements Server.RequestHandler {
  private static final String JOB_PREFIX = ProtocolPath.SUBMISSIONS + "/";

  private final Loop clock;
  private final UserApi users;
  private final HeartbeatEndpoint heartbeats;
  private final ServingHealth health;
  private final Metrics metrics;

  /** Creates a router to the given handlers. */
  public RequestRouter(
      Loop clock,
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
    long since = clock.nowMicros();
    route(method, withoutQuery(pathAndQuery), body, out);
    metrics.recordWork(
        pathAndQuery.equals(ProtocolPath.HEARTBEAT) ? "heartbeats" : "users",
        clock.nowMicros() - since);
  }

  private static String withoutQuery(String pathAndQuery) {
    int queryStart = pathAndQuery.indexOf('?');
    return queryStart < 0 ? pathAndQuery : pathAndQuery.substring(0, queryStart);
  }

  private void route(String method, String path, byte[] body, Responder out) {
    if (path.equals(ProtocolPath.HEARTBEAT)) {
      if (allowed(method, "POST", out)) {
        heartbeats.handle(body, out);
      }
    } else if (path.equals(ProtocolPath.HEALTH)) {
      if (allowed(method, "GET", out)) {
        answerHealth(out);
      }
    } else if (path.equals(ProtocolPath.SUBMISSIONS)) {
      if (allowed(method, "POST", out)) {
        users.submit(body, out);
      }
    } else if (path.startsWith(JOB_PREFIX)) {
      routeJob(method, path.substring(JOB_PREFIX.length()), out);
    } else {
      out.error(HttpStatus.NOT_FOUND, "no such path");
    }
  }

  /**
   * @param path the path after the job prefix: a job id, optionally followed by the cancellation
   *     suffix
   */
  private void routeJob(String method, String path, Responder out) {
    if (path.endsWith(ProtocolPath.CANCEL_SUFFIX)) {
      if (allowed(method, "POST", out)) {
        users.cancel(path.substring(0, path.length() - ProtocolPath.CANCEL_SUFFIX.length()), out);
      }
    } else if (path.indexOf('/') >= 0) {
      out.error(HttpStatus.NOT_FOUND, "no such path");
    } else if (allowed(method, "GET", out)) {
      users.poll(path, out);
    }
  }

  private static boolean allowed(String method, String want, Responder out) {
    if (method.equals(want)) {
      return true;
    }
    out.error(HttpStatus.METHOD_NOT_ALLOWED, "only " + want + " is served here");
    return false;
  }

  private void answerHealth(Responder out) {
    if (health.canTakeRequests()) {
      out.send(HttpStatus.OK, "{}");
    } else {
      out.retryLater(HttpStatus.UNAVAILABLE, "can't take requests", 1);
    }
  }
}
