package plumlever;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.concurrent.EventLoop;
import plumlever.peer.PeerStatus;

/**
 * Jobs whose cancellation was recently confirmed to a user. The leader learns of each confirmed
 * cancellation directly, either in this process or over the peer link. It then stops the tasks of
 * the job even while the state service refuses the leader's reads.
 */
final class ConfirmedCancellations {
  /**
   * The time for which a confirmed cancellation is reported to the other controllers, so that the
   * leader learns of it even if the state service refuses the leader's reads for that long.
   */
  private static final long REPORT_DURATION_MICROS = 20_000_000;

  private final EventLoop loop;
  private final Leadership leadership;

  /** For each job, the time at which its cancellation was last confirmed by this controller. */
  private final Map<String, Long> confirmedAtMicros = new LinkedHashMap<>();

  ConfirmedCancellations(EventLoop loop, Leadership leadership) {
    this.loop = loop;
    this.leadership = leadership;
  }

  /** Records that this controller is confirming the cancellation of the job to a user. */
  void confirmedLocally(String uid) {
    confirmedAtMicros.put(uid, loop.nowMicros());
    leadership.leader().ifPresent(leader -> leader.jobCancelled(uid));
  }

  /**
   * If this controller leads, tells its leader which cancellations another controller has confirmed
   * to users.
   */
  void confirmedByPeer(PeerStatus status) {
    leadership
        .leader()
        .ifPresent(leader -> leader.cancellationsConfirmed(status.confirmedCancellations()));
  }

  /**
   * Returns the ids of the jobs whose cancellation this controller recently confirmed, to be
   * reported to the peers.
   */
  List<String> recent() {
    long now = loop.nowMicros();
    confirmedAtMicros.values().removeIf(at -> now - at > REPORT_DURATION_MICROS);
    return List.copyOf(confirmedAtMicros.keySet());
  }
}
