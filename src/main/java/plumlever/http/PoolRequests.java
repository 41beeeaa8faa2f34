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

/** Takes the requests that controllers of different shards of a pool make of each other. */
public final class PoolRequests {
  /** Where heartbeats of machines are passed on to the shards whose tasks are on them. */
  public static final String RELAY = "/relay";

  /** Where an operator has a machine given to another shard. */
  public static final String TRANSFER = "/transfer";

  private final Supplier<Optional<Leader>> leader;
  private final RequestRouter router;

  /**
   * Takes the requests of a pool's other shards.
   *
   * @param leader the leader in this process, if there is one
   * @param router answers the requests of users that another shard's controller passes on
   */
  public PoolRequests(Supplier<Optional<Leader>> leader, RequestRouter router) {
    this.leader = leader;
    this.router = router;
  }

  /**
   * Answers the request if its path is one of a pool's.
   *
   * @return false if it is not, and nothing was answered
   */
  public boolean handle(String path, byte[] body, Responder out) {
    try {
      switch (path) {
        case RELAY -> relay(body, out);
        case TRANSFER -> transfer(body, out);
        case ForwardedRequest.PATH -> answerForwarded(body, out);
        default -> {
          return false;
        }
      }
    } catch (InvalidMessageException e) {
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
    }
    return true;
  }

  /** Another shard's leader passes on a heartbeat. */
  private void relay(byte[] body, Responder out) throws InvalidMessageException {
    Optional<Leader> leading = leader.get();
    if (leading.isPresent()) {
      leading.get().relayedHeartbeat(RelayedHeartbeat.parse(body), out);
    } else {
      out.retryLater(HttpStatus.UNAVAILABLE, "does not lead", 1);
    }
  }

  /** An operator gives a machine to another shard. */
  private void transfer(byte[] body, Responder out) throws InvalidMessageException {
    ObjectNode request = Json.parseObject(body);
    String machine = Json.text(request, "machine");
    Optional<Leader> leading = leader.get();
    if (leading.isPresent() && leading.get().transfer(machine, Json.text(request, "to"))) {
      out.send(HttpStatus.OK, "{}");
    } else {
      out.retryLater(HttpStatus.UNAVAILABLE, machine + " can't be given from here now", 1);
    }
  }

  /** Answers a user of another shard's controller; such a request goes no further. */
  private void answerForwarded(byte[] body, Responder out) throws InvalidMessageException {
    ForwardedRequest request = ForwardedRequest.parse(body);
    router.handle(
        request.method(),
        request.path(),
        request.body().getBytes(StandardCharsets.UTF_8),
        new ForwardedResponder(out));
  }

  /** Passes the answer back to the controller that forwarded the request. */
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
