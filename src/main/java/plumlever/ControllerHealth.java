package plumlever;

import java.util.List;
import plumlever.election.LeaderElection;
import plumlever.http.ServingHealth;
import plumlever.peer.PeerStatus;
import plumlever.settings.PlatformConfiguration;
import plumlever.store.StateClient;

/**
 * Decides whether users should use another controller instead of this one. During an outage that
 * affects all controllers, every controller continues to take requests, because otherwise none
 * would.
 */
final class ControllerHealth implements ServingHealth {
  /**
   * The state service must have refused this controller for this long before the controller
   * concludes that the others are still served. This is longer than any controller takes to notice
   * an outage that affects all controllers and to report it to its peers.
   */
  private static final long REFUSED_ALONE_AFTER_MICROS = 3_000_000;

  private static final long LATE_THRESHOLD_MICROS = 500_000;
  private static final long ON_TIME_THRESHOLD_MICROS = 200_000;

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
    return !ineligible() && !onlyThisControllerRefused() && !isLateAlone();
  }

  @Override
  public boolean ineligible() {
    return election.ineligible();
  }

  /**
   * Returns true if the state service serves other controllers but refuses this one or does not
   * respond to it. A controller that has no recent status of any peer is treated as refused: it
   * cannot tell whether the state service serves the others.
   */
  @Override
  public boolean onlyThisControllerRefused() {
    if (store.refusedForMicros() < REFUSED_ALONE_AFTER_MICROS || platform.peers().isEmpty()) {
      return false;
    }
    List<PeerStatus> statuses = peers.recent();
    return statuses.isEmpty() || statuses.stream().anyMatch(ControllerHealth::isServed);
  }

  /**
   * Returns true if the controller loop runs so late that users wait for seconds, while the loop of
   * another controller runs on time. This happens, for example, to a leader that receives the
   * heartbeats of hundreds of workers.
   */
  private boolean isLateAlone() {
    return lateness.micros() >= LATE_THRESHOLD_MICROS
        && peers.recent().stream()
            .anyMatch(peer -> isServed(peer) && peer.lateMicros() < ON_TIME_THRESHOLD_MICROS);
  }

  private static boolean isServed(PeerStatus peer) {
    return peer.storeRefusedMicros() == 0;
  }
}
