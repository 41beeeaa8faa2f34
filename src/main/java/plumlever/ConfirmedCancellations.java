package plumlever;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.concurrent.EventLoop;
import plumlever.peer.PeerStatus;

/**
 * Records the jobs whose cancellation this controller recently confirmed to a user, and tells the
 * leader of them: by a call if the leader is in this process, otherwise in the status sent to the
 * other controllers. The leader can then stop the tasks of such a job even while the state service
 * refuses its reads.
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

  /**
   * Records that this controller confirms the cancellation of the job to a user, and tells the
   * leader if it runs in this process.
   */
  void confirmedLocally(String uid) {
    confirmedAtMicros.put(uid, loop.nowMicros());
    leadership.leader().ifPresent(leader -> leader.jobCancelled(uid));
  }

  /**
   * Handles the status of another controller: if this controller leads, tells its leader which
   * cancellations the other controller has confirmed to users.
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
