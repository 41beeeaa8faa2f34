package plumlever.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import plumlever.leader.Leader;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.RelayedHeartbeat;

/** Requests that controllers of different cells of a pool make of each other. */
public final class PoolRequests {
  /** Where heartbeats of machines are passed on to the cells whose tasks are on them. */
  public static final String RELAY = "/relay";

  /** Where an operator has a machine given to another cell. */
  public static final String TRANSFER = "/transfer";

  public static final String FORWARD = ForwardedRequest.PATH;

  private PoolRequests() {}

  /**
   * Takes what another cell's leader passes on.
   *
   * @param leader null where this controller does not lead
   */
  public static void relay(byte[] body, Leader leader, Responder out) {
    if (leader == null) {
      out.retryLater(HttpStatus.UNAVAILABLE, "does not lead", 1);
      return;
    }
    try {
      leader.relayed(RelayedHeartbeat.parse(body), out);
    } catch (InvalidMessageException e) {
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
    }
  }

  /**
   * An operator gives a machine to another cell.
   *
   * @param leader null where this controller does not lead
   */
  public static void transfer(byte[] body, Leader leader, Responder out) {
    try {
      ObjectNode request = Json.parseObject(body);
      String machine = Json.text(request, "machine");
      if (leader == null || !leader.transfer(machine, Json.text(request, "to"))) {
        out.retryLater(HttpStatus.UNAVAILABLE, machine + " can't be given from here now", 1);
      } else {
        out.send(HttpStatus.OK, "{}");
      }
    } catch (InvalidMessageException e) {
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
    }
  }

  /** Answers a user of another cell's controller; such a request goes no further. */
  public static void answerForwarded(byte[] body, RequestRouter router, Responder out) {
    ForwardedRequest request;
    try {
      request = ForwardedRequest.parse(body);
    } catch (InvalidMessageException e) {
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    router.handle(
        request.method(),
        request.path(),
        request.body().getBytes(StandardCharsets.UTF_8),
        new Responder() {
          @Override
          public void send(int status, String json, int retryAfterS) {
            out.send(status, json, retryAfterS);
          }

          @Override
          public boolean isForwarded() {
            return true;
          }
        });
  }
}
