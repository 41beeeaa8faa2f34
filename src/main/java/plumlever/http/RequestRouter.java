package plumlever.http;

import plumlever.concurrent.Loop;
import plumlever.leader.Leader;
import plumlever.metrics.Metrics;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;
import plumlever.wire.ProtocolPath;

/** Routes requests of users, workers and health checks. */
public final class RequestRouter implements Server.Handler {
  /** What the front has to know of this controller. */
  public interface House {
    /** The leader here, or null when this controller does not lead. */
    Leader leader();

    /** Label of the live leader, or null. */
    String leaderLabel();

    boolean canTakeRequests();

    /** A worker reported to a controller that does not lead. */
    void unknownMachine(String machineId);
  }

  private final Loop clock;
  private final UserApi users;
  private final House house;
  private final Metrics metrics;
  private final DelegatedHeartbeats delegated;

  /** Routes requests to the parts of this controller. */
  public RequestRouter(
      Loop clock, UserApi users, House house, DelegatedHeartbeats delegated, Metrics metrics) {
    this.delegated = delegated;
    this.clock = clock;
    this.users = users;
    this.house = house;
    this.metrics = metrics;
  }

  @Override
  public void handle(String method, String pathAndQuery, byte[] body, Responder out) {
    long since = clock.nowMicros();
    route(method, pathAndQuery, body, out);
    metrics.recordWork(
        pathAndQuery.equals(ProtocolPath.HEARTBEAT) ? "heartbeats" : "users",
        clock.nowMicros() - since);
  }

  private void route(String method, String pathAndQuery, byte[] body, Responder out) {
    int queryStart = pathAndQuery.indexOf('?');
    String path = queryStart < 0 ? pathAndQuery : pathAndQuery.substring(0, queryStart);
    if (path.equals(ProtocolPath.HEARTBEAT)) {
      if (allowed(method, "POST", out)) {
        heartbeat(body, out);
      }
    } else if (path.equals(ProtocolPath.HEALTH)) {
      if (allowed(method, "GET", out)) {
        up(out);
      }
    } else if (path.equals(ProtocolPath.SUBMISSIONS)) {
      if (allowed(method, "POST", out)) {
        users.submit(body, out);
      }
    } else if (path.startsWith(ProtocolPath.SUBMISSIONS + "/")) {
      String rest = path.substring(ProtocolPath.SUBMISSIONS.length() + 1);
      if (rest.endsWith(ProtocolPath.CANCEL_SUFFIX)) {
        if (allowed(method, "POST", out)) {
          users.cancel(rest.substring(0, rest.length() - ProtocolPath.CANCEL_SUFFIX.length()), out);
        }
      } else if (rest.indexOf('/') >= 0) {
        out.error(HttpStatus.NOT_FOUND, "no such path");
      } else if (allowed(method, "GET", out)) {
        users.poll(rest, out);
      }
    } else {
      out.error(HttpStatus.NOT_FOUND, "no such path");
    }
  }

  private static boolean allowed(String method, String want, Responder out) {
    if (method.equals(want)) {
      return true;
    }
    out.error(HttpStatus.METHOD_NOT_ALLOWED, "only " + want + " is served here");
    return false;
  }

  private void up(Responder out) {
    if (house.canTakeRequests()) {
      out.send(HttpStatus.OK, "{}");
    } else {
      out.later(HttpStatus.UNAVAILABLE, "can't take requests", 1);
    }
  }

  private void heartbeat(byte[] body, Responder out) {
    Heartbeat heartbeat;
    try {
      heartbeat = Heartbeat.parse(body);
    } catch (InvalidMessageException e) {
      metrics.count("heartbeats_unreadable");
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    metrics.count("heartbeats");
    if (out.crowded()) {
      // Users come first: a worker can do with a connection for each heartbeat.
      metrics.count("heartbeats_closed_crowded");
      out.closing();
    }
    Leader leader = house.leader();
    if (leader != null) {
      leader.heartbeat(heartbeat, out);
      return;
    }
    house.unknownMachine(heartbeat.machineId());
    if (delegated.answer(heartbeat, out)) {
      return;
    }
    String label = house.leaderLabel();
    out.send(
        HttpStatus.MISDIRECTED_REQUEST,
        Json.write(label == null ? Json.object() : Json.object().put(ProtocolField.LEADER, label)));
  }
}
