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
 * Takes workers' heartbeats: the leader answers them, or this controller on a leader's behalf, or
 * the worker is sent to the leader.
 */
public final class HeartbeatEndpoint {
  private final LeaderLookup leaders;
  private final DelegatedHeartbeats delegated;
  private final Consumer<String> machineWithoutLeader;
  private final Metrics metrics;

  /**
   * Answers workers by what these know.
   *
   * @param machineWithoutLeader told the id of each machine that sends a heartbeat while this
   *     controller does not lead
   */
  public HeartbeatEndpoint(
      LeaderLookup leaders,
      DelegatedHeartbeats delegated,
      Consumer<String> machineWithoutLeader,
      Metrics metrics) {
    this.leaders = leaders;
    this.delegated = delegated;
    this.machineWithoutLeader = machineWithoutLeader;
    this.metrics = metrics;
  }

  /** Answers the heartbeat with this body, now or once what it depends on has been read. */
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
    if (out.connectionsScarce()) {
      // Users come first: a worker can do with a connection for each heartbeat.
      metrics.count("heartbeats_closed_crowded");
      out.closeConnection();
    }
    Optional<Leader> leader = leaders.actingLeader();
    if (leader.isPresent()) {
      leader.get().heartbeat(heartbeat, out);
      return;
    }
    machineWithoutLeader.accept(heartbeat.machineId());
    if (!delegated.answer(heartbeat, out)) {
      sendToLeader(out);
    }
  }

  private void sendToLeader(Responder out) {
    String body =
        leaders
            .leaderLabel()
            .map(label -> Json.write(Json.object().put(ProtocolField.LEADER, label)))
            .orElseGet(() -> Json.write(Json.object()));
    out.send(HttpStatus.MISDIRECTED_REQUEST, body);
  }
}
