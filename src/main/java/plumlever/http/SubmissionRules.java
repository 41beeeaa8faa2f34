package plumlever.http;

import java.util.List;
import java.util.Optional;
import plumlever.cloud.MachineTypeCatalog;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.ProtocolField;

/** Checks submitted jobs against the team limits and the available machine types. */
public final class SubmissionRules {
  private final List<PlatformConfiguration.Team> teams;
  private final MachineTypeCatalog typeCatalog;

  /**
   * Creates rules from the team limits and the catalog of machine types, which may still be empty.
   */
  public SubmissionRules(List<PlatformConfiguration.Team> teams, MachineTypeCatalog typeCatalog) {
    this.teams = teams;
    this.typeCatalog = typeCatalog;
  }

  /**
   * Returns why the job cannot be accepted now: its team is unknown, a task exceeds the limit of
   * the team, or no known machine type can run a task. Empty if the job can be accepted.
   */
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
    if (!typeCatalog.isLoaded()) {
      return Optional.of(SubmissionRefusal.undecided("the machine types are not known yet"));
    }
    if (!typeCatalog.canRun(spec)) {
      return Optional.of(SubmissionRefusal.unprocessable("a task fits no allowed machine type"));
    }
    return Optional.empty();
  }

  /**
   * True if a task of the job needs more than the team's limit. A limit of 0 means that the
   * resource is unlimited.
   */
  private static boolean exceedsLimit(JobSpec spec, PlatformConfiguration.Team team) {
    return (team.maxCores() > 0 && spec.cores() > team.maxCores())
        || (team.maxAccelerators() > 0 && spec.accelerators() > team.maxAccelerators());
  }
}
