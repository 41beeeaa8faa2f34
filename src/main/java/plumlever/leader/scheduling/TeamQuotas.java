package plumlever.leader.scheduling;

import java.util.HashMap;
import java.util.Map;
import plumlever.fleet.Job;
import plumlever.leader.failover.Failover;
import plumlever.wire.JobSpec;

/** Tracks the quota that remains for each team in the current pass. */
final class TeamQuotas {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Failover failover;
  private final Map<String, PlannedUsage> plannedByTeam = new HashMap<>();

  TeamQuotas(Failover failover) {
    this.failover = failover;
  }

  /** Resources planned for one team in the current pass. */
  private static final class PlannedUsage {
    private double cores;
    private double accelerators;

    void add(JobSpec spec) {
      cores += spec.cores();
      accelerators += spec.accelerators();
    }

    /**
     * Returns the planned resources of the team as a number of tasks of the given size, rounded up.
     */
    int asTaskCount(JobSpec spec) {
      if (spec.cores() > 0) {
        return (int) Math.ceil(cores / spec.cores() - ROUNDING_TOLERANCE);
      }
      if (spec.accelerators() > 0) {
        return (int) Math.ceil(accelerators / spec.accelerators() - ROUNDING_TOLERANCE);
      }
      return 0;
    }
  }

  /** Resets the planned resources of all teams for a new pass. */
  void clear() {
    plannedByTeam.clear();
  }

  /** Charges one task of the job to its team's quota until the end of the pass. */
  void reserveTask(Job job) {
    plannedByTeam.computeIfAbsent(job.spec().team(), team -> new PlannedUsage()).add(job.spec());
  }

  /**
   * Returns how many more tasks of the job the team's quota allows. Counts all tasks that may still
   * run on any machine and the tasks planned in this pass. Integer.MAX_VALUE for a team without
   * limits.
   */
  int headroomTasks(Job job) {
    int tasks = failover.quotaHeadroom(job);
    PlannedUsage planned = plannedByTeam.get(job.spec().team());
    if (planned != null && tasks != Integer.MAX_VALUE) {
      tasks -= planned.asTaskCount(job.spec());
    }
    return Math.max(0, tasks);
  }
}
