package plumlever;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.concurrent.Loop;
import plumlever.peer.PeerStatus;

/**
 * Jobs whose users were told that they are cancelled. The leader is told at once, here or over the
 * peer link: it stops their tasks even if the state service refuses to tell it.
 */
final class ConfirmedCancellations {
  /**
   * For as long as peers are told: the state service may have refused one of them all that time.
   */
  private static final long TOLD_FOR_MICROS = 20_000_000;

  private final Loop loop;
  private final Leadership leadership;

  /** When the cancellation was last confirmed here, by job. */
  private final Map<String, Long> confirmedAtMicros = new LinkedHashMap<>();

  ConfirmedCancellations(Loop loop, Leadership leadership) {
    this.loop = loop;
    this.leadership = leadership;
  }

  /** A user of this controller is being told that the job is cancelled. */
  void confirmed(String uid) {
    confirmedAtMicros.put(uid, loop.nowMicros());
    leadership.leader().ifPresent(leader -> leader.jobCancelled(uid));
  }

  /** Another controller has confirmed these cancellations to its users. */
  void confirmedByPeer(PeerStatus status) {
    leadership
        .leader()
        .ifPresent(leader -> leader.cancellationsConfirmed(status.confirmedCancellations()));
  }

  /** The ids of jobs whose cancellation was confirmed here lately, for the peers. */
  List<String> recent() {
    long now = loop.nowMicros();
    confirmedAtMicros.values().removeIf(at -> now - at > TOLD_FOR_MICROS);
    return List.copyOf(confirmedAtMicros.keySet());
  }
}
