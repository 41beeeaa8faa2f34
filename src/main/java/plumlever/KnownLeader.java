package plumlever;

import java.util.Optional;
import plumlever.election.LeaderElection;
import plumlever.http.LeaderLookup;
import plumlever.leader.Leader;

/**
 * Finds the current leader: the leader object if this controller leads, otherwise the label of the
 * leading controller from the leadership records.
 */
record KnownLeader(Leadership leadership, LeaderElection election) implements LeaderLookup {
  @Override
  public Optional<Leader> actingLeader() {
    return leadership.leader().filter(Leader::mayAct);
  }

  @Override
  public Optional<String> leaderLabel() {
    return election.leaderLabel();
  }
}
