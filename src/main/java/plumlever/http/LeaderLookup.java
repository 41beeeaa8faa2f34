package plumlever.http;

import java.util.Optional;
import plumlever.leader.Leader;

/**
 * Finds the current leader, as far as this controller knows it. The methods are called for each
 * heartbeat.
 */
public interface LeaderLookup {
  /** Returns the leader in this process; empty if this process has none that is allowed to act. */
  Optional<Leader> actingLeader();

  /**
   * Returns the label (configured name) of the controller that leads; empty if no live leader is
   * known.
   */
  Optional<String> leaderLabel();
}
