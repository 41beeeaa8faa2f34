package plumlever.leader.scheduling;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumlever.fleet.DependencyGraph;
import plumlever.fleet.Job;
import plumlever.settings.PlatformConfiguration;

/**
 * By when a job's tasks should run and be complete: its own deadline, what the aims say of its
 * class, or the default.
 */
final class ServiceObjectives {
  private final Map<String, long[]> startWithin = new HashMap<>();
  private final Map<String, long[]> finishWithin = new HashMap<>();
  private final Map<String, double[]> deadlineTimes = new HashMap<>();
  private final long startTargetMicros;
  private long guaranteedWithin = Long.MAX_VALUE;

  ServiceObjectives(List<PlatformConfiguration.Objective> objectives, long startTargetMicros) {
    this.startTargetMicros = startTargetMicros;
    for (PlatformConfiguration.Objective objective : objectives) {
      long within = (long) (objective.withinS() * 1e6);
      if (objective.jobClass() == null) {
        if (objective.kind().equals("guarantee")) {
          guaranteedWithin = Math.min(guaranteedWithin, within);
        }
        continue;
      }
      switch (objective.kind()) {
        case "wait" ->
            startWithin.merge(objective.jobClass(), new long[] {within}, ServiceObjectives::both);
        case "finished" ->
            finishWithin.merge(objective.jobClass(), new long[] {within}, ServiceObjectives::both);
        case "deadline" ->
            deadlineTimes.merge(
                objective.jobClass(),
                new double[] {objective.deadlineFactor()},
                (a, b) -> {
                  double[] all = Arrays.copyOf(a, a.length + 1);
                  all[a.length] = b[0];
                  Arrays.sort(all);
                  return all;
                });
        default -> {}
      }
    }
  }

  private static long[] both(long[] first, long[] second) {
    long[] all = Arrays.copyOf(first, first.length + 1);
    all[first.length] = second[0];
    Arrays.sort(all);
    return all;
  }

  /** The soonest aim that is still ahead; when all are behind, the last of them. */
  private static long nextOf(long[] withins, long from, long now) {
    for (long w : withins) {
      if (from + w >= now) {
        return from + w;
      }
    }
    return from + withins[withins.length - 1];
  }

  /**
   * By when it should start: of the aims for its start the soonest that is not missed yet.
   * Long.MAX_VALUE for a job that has only a deadline.
   */
  long startBy(Job job, boolean withinGuarantee, long now) {
    long[] aims = startWithin.get(job.spec().jobClass());
    long by =
        aims != null
            ? nextOf(aims, job.releasedMicros(), now)
            : job.hasDeadline() ? Long.MAX_VALUE : job.releasedMicros() + startTargetMicros;
    if (withinGuarantee && guaranteedWithin != Long.MAX_VALUE) {
      long guaranteed = job.releasedMicros() + guaranteedWithin;
      // Once it is missed, the aims of the class are what is left to meet.
      if (guaranteed >= now || (by == Long.MAX_VALUE && !job.hasDeadline())) {
        by = Math.min(by, guaranteed);
      }
    }
    return by;
  }

  /**
   * By when it should be complete: its deadline or what that of a later job leaves it, as many
   * times over as the aims still allow, and the aims of its class.
   */
  long finishBy(Job job, long now) {
    long by = Long.MAX_VALUE;
    if (job.hasDeadline()) {
      by = job.deadlineMicros();
      DependencyGraph.EffectiveGoal goal = job.goal();
      for (double times : deadlineTimes.getOrDefault(goal.jobClass(), new double[0])) {
        if (by >= now) {
          break;
        }
        by =
            goal.submittedMicros()
                + (long) (goal.deadlineMicros() * Math.max(1, times))
                - goal.downstreamPathMicros();
      }
    }
    long[] aims = finishWithin.get(job.spec().jobClass());
    return aims == null ? by : Math.min(by, nextOf(aims, job.releasedMicros(), now));
  }

  /** True if some start is asked for sooner than this: machines must stand by for it. */
  boolean startsSoonerThan(long micros) {
    return guaranteedWithin < micros || startWithin.values().stream().anyMatch(w -> w[0] < micros);
  }
}
