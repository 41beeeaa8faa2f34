package plumlever.http;

import java.util.Optional;
import java.util.function.Consumer;
import plumlever.leader.Leader;
import plumlever.metrics.Metrics;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/**
 * The endpoint for heartbeats of workers. If the leader is in this process, the leader responds.
 * Otherwise this controller responds on the leader's behalf if the leader has authorized it, or
 * redirects the worker to the leader.
 */
public final class HeartbeatEndpoint {
  private final LeaderLookup leaders;
  private final DelegatedHeartbeatHandler delegatedHeartbeatHandler;
  private final Consumer<String> onHeartbeatWhileNotLeading;
  private final Metrics metrics;

  /**
   * Creates the endpoint.
   *
   * @param onHeartbeatWhileNotLeading receives the id of each machine that sends a heartbeat while
   *     this controller does not lead
   */
  public HeartbeatEndpoint(
      LeaderLookup leaders,
      DelegatedHeartbeatHandler delegatedHeartbeatHandler,
      Consumer<String> onHeartbeatWhileNotLeading,
      Metrics metrics) {
    this.leaders = leaders;
    this.delegatedHeartbeatHandler = delegatedHeartbeatHandler;
    this.onHeartbeatWhileNotLeading = onHeartbeatWhileNotLeading;
    this.metrics = metrics;
  }

  /** Responds to a heartbeat, either immediately or after reading from the state service. */
  void handle(byte[] body, Responder out) {
    Heartbeat heartbeat;
    try {
      heartbeat = Heartbeat.parse(body);
    } catch (InvalidMessageException e) {
      metrics.count("heartbeats_unreadable");
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    metrics.count("heartbeats");
    if (out.nearConnectionLimit()) {
      // Close the worker's connection after this response, because user requests have priority for
      // connections. A worker can open a new connection for each heartbeat.
      metrics.count("heartbeats_closed_crowded");
      out.closeConnection();
    }
    Optional<Leader> leader = leaders.actingLeader();
    if (leader.isPresent()) {
      leader.get().heartbeat(heartbeat, out);
      return;
    }
    onHeartbeatWhileNotLeading.accept(heartbeat.machineId());
    if (!delegatedHeartbeatHandler.tryRespond(heartbeat, out)) {
      redirectToLeader(out);
    }
  }

  private void redirectToLeader(Responder out) {
    String body =
        leaders
            .leaderLabel()
            .map(label -> Json.write(Json.object().put(ProtocolField.LEADER, label)))
            .orElseGet(() -> Json.write(Json.object()));
    out.send(HttpStatus.MISDIRECTED_REQUEST, body);
  }
}
