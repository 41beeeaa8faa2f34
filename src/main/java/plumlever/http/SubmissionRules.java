package plumlever.http;

import java.util.List;
import java.util.Optional;
import plumlever.cloud.PriceBook;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.ProtocolField;

/** Which jobs can be accepted, by the limits of teams and the machine types that there are. */
public final class SubmissionRules {
  private final List<PlatformConfiguration.Team> teams;
  private final PriceBook prices;

  /** Rules by these teams' limits and these machine types, which need not be known yet. */
  public SubmissionRules(List<PlatformConfiguration.Team> teams, PriceBook prices) {
    this.teams = teams;
    this.prices = prices;
  }

  /** Why the job can't be accepted, if it can't. */
  Optional<SubmissionRefusal> refusal(JobSpec spec) {
    Optional<PlatformConfiguration.Team> team =
        teams.stream().filter(known -> known.name().equals(spec.team())).findFirst();
    if (team.isEmpty()) {
      return Optional.of(SubmissionRefusal.unprocessable(ProtocolField.TEAM + " is unknown"));
    }
    if (exceedsLimit(spec, team.get())) {
      return Optional.of(
          SubmissionRefusal.unprocessable("a task needs more than its team's limit"));
    }
    if (!prices.isLoaded()) {
      return Optional.of(SubmissionRefusal.undecided("the machine types are not known yet"));
    }
    if (!prices.canRun(spec)) {
      return Optional.of(SubmissionRefusal.unprocessable("a task fits no allowed machine type"));
    }
    return Optional.empty();
  }

  /** A resource without a limit has 0. */
  private static boolean exceedsLimit(JobSpec spec, PlatformConfiguration.Team team) {
    return (team.maxCores() > 0 && spec.cores() > team.maxCores())
        || (team.maxAccelerators() > 0 && spec.accelerators() > team.maxAccelerators());
  }
}
