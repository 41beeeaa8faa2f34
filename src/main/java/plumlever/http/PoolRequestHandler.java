package plumlever.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import plumlever.leader.Leader;
import plumlever.wire.ForwardedRequest;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.RelayedHeartbeat;

/** Handles the requests that controllers of different shards of a pool send to each other. */
public final class PoolRequestHandler {
  /**
   * Path for relayed heartbeats, which a shard sends to the shards whose tasks run on its machines.
   */
  public static final String RELAY = "/relay";

  /** Path with which an operator transfers a machine to another shard. */
  public static final String TRANSFER = "/transfer";

  private final Supplier<Optional<Leader>> leader;
  private final RequestRouter router;

  /**
   * Creates the handler.
   *
   * @param leader the leader in this process, if there is one
   * @param router handles user requests that controllers of other shards forward
   */
  public PoolRequestHandler(Supplier<Optional<Leader>> leader, RequestRouter router) {
    this.leader = leader;
    this.router = router;
  }

  /**
   * Handles the request if the path is one for requests between the shards of a pool.
   *
   * @return false for any other path; no response has been sent
   */
  public boolean handle(String path, byte[] body, Responder out) {
    try {
      switch (path) {
        case RELAY -> handleRelayedHeartbeat(body, out);
        case TRANSFER -> handleTransfer(body, out);
        case ForwardedRequest.PATH -> handleForwardedRequest(body, out);
        default -> {
          return false;
        }
      }
    } catch (InvalidMessageException e) {
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
    }
    return true;
  }

  /**
   * Handles a heartbeat that the leader of another shard relayed because tasks of this shard are on
   * the machine.
   */
  private void handleRelayedHeartbeat(byte[] body, Responder out) throws InvalidMessageException {
    Optional<Leader> leading = leader.get();
    if (leading.isPresent()) {
      leading.get().relayedHeartbeat(RelayedHeartbeat.parse(body), out);
    } else {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "does not lead", 1);
    }
  }

  /** Handles an operator's request to transfer a machine to another shard. */
  private void handleTransfer(byte[] body, Responder out) throws InvalidMessageException {
    ObjectNode request = Json.parseObject(body);
    String machine = Json.text(request, "machine");
    Optional<Leader> leading = leader.get();
    if (leading.isPresent() && leading.get().transfer(machine, Json.text(request, "to"))) {
      out.send(HttpStatus.OK, "{}");
    } else {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, machine + " can't be given from here now", 1);
    }
  }

  /**
   * Handles a user request forwarded by a controller of another shard. A forwarded request is not
   * forwarded again.
   */
  private void handleForwardedRequest(byte[] body, Responder out) throws InvalidMessageException {
    ForwardedRequest request = ForwardedRequest.parse(body);
    router.handle(
        request.method(),
        request.path(),
        request.body().getBytes(StandardCharsets.UTF_8),
        new ForwardedResponder(out));
  }

  /** Sends the response to the controller that forwarded the request. */
  private record ForwardedResponder(Responder out) implements Responder {
    @Override
    public void send(int status, String json, int retryAfterS) {
      out.send(status, json, retryAfterS);
    }

    @Override
    public boolean isForwarded() {
      return true;
    }
  }
}
