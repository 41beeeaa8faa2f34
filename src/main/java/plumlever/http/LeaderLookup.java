package plumlever.http;

import java.util.Optional;
import plumlever.leader.Leader;

/** Who leads, as far as this controller knows; asked anew for each heartbeat. */
public interface LeaderLookup {
  /** The leader in this process; empty when this controller may not act. */
  Optional<Leader> actingLeader();

  /** The label of the controller that leads, if a live one is known. */
  Optional<String> leaderLabel();
}
