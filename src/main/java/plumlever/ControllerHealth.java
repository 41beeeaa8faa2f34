package plumlever;

import java.util.List;
import plumlever.election.LeaderElection;
import plumlever.http.ServingHealth;
import plumlever.peer.PeerStatus;
import plumlever.settings.PlatformConfiguration;
import plumlever.store.StateClient;

/**
 * Whether users are better off with another controller. In a common outage no controller says so,
 * or there would be nobody left to ask.
 */
final class ControllerHealth implements ServingHealth {
  /** Longer than it takes any controller to notice a common outage and tell its peers. */
  private static final long REFUSED_ALONE_AFTER_MICROS = 3_000_000;

  private static final long LATE_FROM_MICROS = 500_000;
  private static final long ON_TIME_BELOW_MICROS = 200_000;

  private final PlatformConfiguration platform;
  private final LeaderElection election;
  private final StateClient store;
  private final LoopLateness lateness;
  private final PeerReports peers;

  ControllerHealth(
      PlatformConfiguration platform,
      LeaderElection election,
      StateClient store,
      LoopLateness lateness,
      PeerReports peers) {
    this.platform = platform;
    this.election = election;
    this.store = store;
    this.lateness = lateness;
    this.peers = peers;
  }

  @Override
  public boolean canTakeRequests() {
    return !ineligible() && !isRefusedAlone() && !isLateAlone();
  }

  @Override
  public boolean ineligible() {
    return election.ineligible();
  }

  /**
   * True when the state service serves others but not this controller, by refusals or by silence. A
   * controller that hears of no peer either is cut off from all of them, and can't tell what they
   * get.
   */
  @Override
  public boolean isRefusedAlone() {
    if (store.refusedForMicros() < REFUSED_ALONE_AFTER_MICROS || platform.peers().isEmpty()) {
      return false;
    }
    List<PeerStatus> heard = peers.recent();
    return heard.isEmpty() || heard.stream().anyMatch(ControllerHealth::isServed);
  }

  /**
   * True when this controller runs so late that users wait for seconds, as a leader does whom
   * hundreds of workers come to, while another is on time.
   */
  private boolean isLateAlone() {
    return lateness.micros() >= LATE_FROM_MICROS
        && peers.recent().stream()
            .anyMatch(peer -> isServed(peer) && peer.lateMicros() < ON_TIME_BELOW_MICROS);
  }

  private static boolean isServed(PeerStatus peer) {
    return peer.storeRefusedMicros() == 0;
  }
}
