package plumlever;

import java.util.HashMap;
import java.util.Map;
import plumlever.concurrent.EventLoop;
import plumlever.election.LeaderElection;
import plumlever.leader.Leader;
import plumlever.peer.PeerStatus;
import plumlever.store.StateClient;

/** Builds the status that this controller reports to its peers. */
final class OwnStatus {
  private static final long HEARTBEAT_WINDOW_MICROS = 5_000_000;

  private final String label;
  private final EventLoop loop;
  private final LeaderElection election;
  private final StateClient store;
  private final LoopLateness lateness;
  private final Leadership leadership;
  private final ConfirmedCancellations cancellations;

  /**
   * For each machine that sent a heartbeat to this controller while this controller did not lead,
   * the time of the last such heartbeat.
   */
  private final Map<String, Long> heartbeatAtMicros = new HashMap<>();

  OwnStatus(
      String label,
      EventLoop loop,
      LeaderElection election,
      StateClient store,
      LoopLateness lateness,
      Leadership leadership,
      ConfirmedCancellations cancellations) {
    this.label = label;
    this.loop = loop;
    this.election = election;
    this.store = store;
    this.lateness = lateness;
    this.leadership = leadership;
    this.cancellations = cancellations;
  }

  /**
   * Records that the machine sent a heartbeat to this controller while this controller did not
   * lead.
   */
  void recordHeartbeat(String machineId) {
    heartbeatAtMicros.put(machineId, loop.nowMicros());
  }

  /** Returns the current status. */
  PeerStatus current() {
    long now = loop.nowMicros();
    heartbeatAtMicros.values().removeIf(at -> now - at > HEARTBEAT_WINDOW_MICROS);
    return new PeerStatus(
        label,
        election.term(),
        election.leading(),
        store.refusedForMicros(),
        Math.max(0, lateness.micros()),
        heartbeatAtMicros.size(),
        leadership.leader().map(Leader::taskCounts).orElse(Map.of()),
        cancellations.recent());
  }
}
