package plumlever.http;

import java.util.Optional;
import plumlever.leader.Leader;

/** Finds the current leader, as far as this controller knows. Called for each heartbeat. */
public interface LeaderLookup {
  /** The leader in this process; empty if this controller must not act as leader. */
  Optional<Leader> actingLeader();

  /** The label of the leading controller, if a live leader is known. */
  Optional<String> leaderLabel();
}
