package plumlever;

import java.util.List;
import java.util.Optional;
import plumlever.http.TaskCounts;
import plumlever.lease.ClockDrift;
import plumlever.lease.SettledCommands;
import plumlever.peer.PeerStatus;
import plumlever.peer.Peers;
import plumlever.settings.SharingSettings;

/**
 * The latest status reported by each of the other controllers. Advisory only: it may be stale or
 * missing.
 */
final class PeerReports {
  private static final long STATUS_VALID_MICROS = 3_500_000;

  /**
   * The maximum age of a peer's status whose task counts are used. Task counts are only displayed,
   * so they may be older than other reported data.
   */
  private static final long COUNTS_VALID_MICROS = 5_000_000;

  private final Peers peers;
  private final Optional<SharingSettings> sharing;

  PeerReports(Peers peers, Optional<SharingSettings> sharing) {
    this.peers = peers;
    this.sharing = sharing;
  }

  /** Returns the last status of each other controller that reported recently. */
  List<PeerStatus> recent() {
    return peers.receivedWithin(STATUS_VALID_MICROS);
  }

  /**
   * Returns the numbers of finished and running tasks of the job if a leader in another process
   * reported them.
   */
  Optional<TaskCounts> taskCounts(String uid) {
    return peers.receivedWithin(COUNTS_VALID_MICROS).stream()
        .filter(PeerStatus::leading)
        .flatMap(status -> Optional.ofNullable(status.counts().get(uid)).stream())
        .findFirst();
  }

  /** Returns the largest number of workers reported by another controller of this shard. */
  int workersAtOtherControllers() {
    return recent().stream()
        .filter(status -> isOfOwnShard(status.label()))
        .mapToInt(PeerStatus::workers)
        .max()
        .orElse(0);
  }

  /**
   * Returns what the leaders before this controller's next term have reported about their start
   * commands. In a pool, where leaders of several shards report, nothing is relied on.
   */
  SettledCommands settledCommands() {
    return peers
        .latestSettlement()
        .filter(received -> sharing.isEmpty())
        .map(PeerReports::toSettledCommands)
        .orElse(SettledCommands.UNKNOWN);
  }

  private static SettledCommands toSettledCommands(Peers.ReceivedSettlement received) {
    long readAgeMicros = ClockDrift.maxElapsedMicros(received.report().endedJobsReadAgeMicros());
    return new SettledCommands(
        received.requestSentMicros() - readAgeMicros, received.report().unsettledMachines());
  }

  private boolean isOfOwnShard(String label) {
    return sharing.isEmpty() || sharing.get().ownShard().controllers().contains(label);
  }
}
