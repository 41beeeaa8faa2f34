package plumlever;

import java.util.List;
import java.util.Optional;
import plumlever.http.TaskCounts;
import plumlever.peer.PeerStatus;
import plumlever.peer.Peers;
import plumlever.settings.SharingSettings;

/** The latest status that the other controllers sent of themselves; advice only. */
final class PeerReports {
  private static final long VALID_MICROS = 3_500_000;

  /** Counts are for display only and may be older. */
  private static final long COUNTS_VALID_MICROS = 5_000_000;

  private final Peers peers;
  private final Optional<SharingSettings> sharing;

  PeerReports(Peers peers, Optional<SharingSettings> sharing) {
    this.peers = peers;
    this.sharing = sharing;
  }

  /** The status of each peer that was heard of lately. */
  List<PeerStatus> recent() {
    return peers.heardWithin(VALID_MICROS);
  }

  /** Finished and running tasks of the job, if a leader elsewhere reported them. */
  Optional<TaskCounts> taskCounts(String uid) {
    return peers.heardWithin(COUNTS_VALID_MICROS).stream()
        .filter(PeerStatus::leading)
        .flatMap(status -> Optional.ofNullable(status.counts().get(uid)).stream())
        .findFirst();
  }

  /** The largest number of workers that another controller of this shard reported. */
  int workersElsewhere() {
    return recent().stream()
        .filter(status -> isOfOwnShard(status.label()))
        .mapToInt(PeerStatus::workers)
        .max()
        .orElse(0);
  }

  private boolean isOfOwnShard(String label) {
    return sharing.isEmpty() || sharing.get().ownShard().controllers().contains(label);
  }
}
