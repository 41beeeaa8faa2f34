package plumlever.leader.scheduling;

import java.util.HashMap;
import java.util.Map;
import plumlever.fleet.Job;
import plumlever.leader.failover.Failover;
import plumlever.wire.JobSpec;

/** What each team's quota leaves for further tasks in the current pass. */
final class TeamQuotas {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Failover failover;
  private final Map<String, PlannedUse> plannedByTeam = new HashMap<>();

  TeamQuotas(Failover failover) {
    this.failover = failover;
  }

  /** What the tasks planned for one team in this pass take of its quota. */
  private static final class PlannedUse {
    private double cores;
    private double accelerators;

    void add(JobSpec spec) {
      cores += spec.cores();
      accelerators += spec.accelerators();
    }

    /** How many tasks of this size the planned use stands for. */
    int inTasksOf(JobSpec spec) {
      if (spec.cores() > 0) {
        return (int) Math.ceil(cores / spec.cores() - ROUNDING_TOLERANCE);
      }
      if (spec.accelerators() > 0) {
        return (int) Math.ceil(accelerators / spec.accelerators() - ROUNDING_TOLERANCE);
      }
      return 0;
    }
  }

  /** A new pass begins: nothing is planned yet. */
  void clear() {
    plannedByTeam.clear();
  }

  /** The team's quota is charged with one task of the job until the pass ends. */
  void reserveTask(Job job) {
    plannedByTeam.computeIfAbsent(job.spec().team(), team -> new PlannedUse()).add(job.spec());
  }

  /**
   * How many more tasks of the job its team's quota allows, counting whatever may still be running
   * anywhere and what this pass planned; Integer.MAX_VALUE for a team without limits.
   */
  int headroomTasks(Job job) {
    int tasks = failover.quotaHeadroom(job);
    PlannedUse planned = plannedByTeam.get(job.spec().team());
    if (planned != null && tasks != Integer.MAX_VALUE) {
      tasks -= planned.inTasksOf(job.spec());
    }
    return Math.max(0, tasks);
  }
}
