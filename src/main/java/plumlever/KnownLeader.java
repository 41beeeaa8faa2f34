package plumlever;

import java.util.Optional;
import plumlever.election.LeaderElection;
import plumlever.http.LeaderLookup;
import plumlever.leader.Leader;

/**
 * Looks up the leader: in this process if this controller leads, otherwise by the leader's label in
 * the leadership records.
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
