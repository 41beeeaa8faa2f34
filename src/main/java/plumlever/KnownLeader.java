package plumlever;

import java.util.Optional;
import plumlever.election.LeaderElection;
import plumlever.http.LeaderLookup;
import plumlever.leader.Leader;

/** The leader in this process, or the one elsewhere that the election has seen. */
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
