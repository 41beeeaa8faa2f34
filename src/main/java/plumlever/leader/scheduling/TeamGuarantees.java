package plumlever.leader.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.settings.PlatformConfiguration;

/**
 * Determines which jobs run within their team's guaranteed cores. The decision is made once, when
 * the job arrives. A job that exceeded the guarantee on arrival is not covered later when other
 * jobs end.
 */
final class TeamGuarantees {
  private final TermContext context;
  private final Map<String, Double> guaranteedCoresByTeam = new HashMap<>();
  private final Map<Job, Boolean> covered = new HashMap<>();

  TeamGuarantees(TermContext context) {
    this.context = context;
    for (PlatformConfiguration.Team team : context.platform().teams()) {
      guaranteedCoresByTeam.put(team.name(), team.guaranteedCores());
    }
  }

  /** Forgets the decisions on all jobs that are not in the given set. */
  void retainAll(Set<Job> jobs) {
    covered.keySet().retainAll(jobs);
  }

  /**
   * Decides, for each job without a decision, whether it runs within its team's guaranteed cores.
   *
   * @param jobsByAge all jobs that may run, oldest first
   */
  void decide(List<Job> jobsByAge) {
    Map<String, Double> coresByTeam = new HashMap<>();
    for (Job job : jobsByAge) {
      String team = job.spec().team();
      double cores =
          coresByTeam.merge(team, job.spec().taskCount() * job.spec().cores(), Double::sum);
      boolean fits = cores <= guaranteedCoresByTeam.getOrDefault(team, 0.0);
      if (covered.putIfAbsent(job, fits) == null && fits) {
        context.metrics().count("jobs_guaranteed");
      }
    }
  }

  /** True if the job runs within its team's guarantee; false if there is no decision yet. */
  boolean covers(Job job) {
    return covered.getOrDefault(job, false);
  }
}
