package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumlever.fleet.EffectiveGoal;
import plumlever.fleet.Job;
import plumlever.settings.PlatformConfiguration;

/**
 * By when a job's tasks should run and be complete: its own deadline, the service-level objectives
 * of its class, or the default.
 */
final class ServiceObjectives {
  /** What {@link PlatformConfiguration.Objective#kind} may be; other kinds are ignored. */
  private static final String START_KIND = "wait";

  private static final String FINISH_KIND = "finished";
  private static final String DEADLINE_KIND = "deadline";
  private static final String GUARANTEE_KIND = "guarantee";

  private final Map<String, TargetTimes> startTargets = new HashMap<>();
  private final Map<String, TargetTimes> finishTargets = new HashMap<>();

  /** By class, the multiples of a deadline that still count, ascending. */
  private final Map<String, List<Double>> deadlineMultiples = new HashMap<>();

  private final long defaultStartMicros;
  private long guaranteedStartMicros = Long.MAX_VALUE;

  /** The times within which something should happen to a job of one class, ascending. */
  private static final class TargetTimes {
    private final List<Long> withinMicros = new ArrayList<>();

    void add(long micros) {
      withinMicros.add(micros);
      Collections.sort(withinMicros);
    }

    /** The soonest target that is still ahead; the last one when all are missed. */
    long nextMicros(long fromMicros, long nowMicros) {
      for (long within : withinMicros) {
        if (fromMicros + within >= nowMicros) {
          return fromMicros + within;
        }
      }
      return fromMicros + withinMicros.get(withinMicros.size() - 1);
    }
  }

  /**
   * The objectives of one platform.
   *
   * @param defaultStartMicros within which tasks should start that nothing else is said of
   */
  ServiceObjectives(List<PlatformConfiguration.Objective> objectives, long defaultStartMicros) {
    this.defaultStartMicros = defaultStartMicros;
    for (PlatformConfiguration.Objective objective : objectives) {
      long withinMicros = ExpectedTimes.micros(objective.withinS());
      if (objective.jobClass() != null) {
        addForClass(objective, withinMicros);
      } else if (objective.kind().equals(GUARANTEE_KIND)) {
        guaranteedStartMicros = Math.min(guaranteedStartMicros, withinMicros);
      }
    }
  }

  private void addForClass(PlatformConfiguration.Objective objective, long withinMicros) {
    String jobClass = objective.jobClass();
    switch (objective.kind()) {
      case START_KIND ->
          startTargets.computeIfAbsent(jobClass, c -> new TargetTimes()).add(withinMicros);
      case FINISH_KIND ->
          finishTargets.computeIfAbsent(jobClass, c -> new TargetTimes()).add(withinMicros);
      case DEADLINE_KIND -> {
        List<Double> multiples =
            deadlineMultiples.computeIfAbsent(jobClass, c -> new ArrayList<>());
        multiples.add(objective.deadlineFactor());
        Collections.sort(multiples);
      }
      default -> {}
    }
  }

  /**
   * By when it should start: the soonest objective for its start that is not missed yet.
   * Long.MAX_VALUE for a job that has only a deadline.
   */
  long startByMicros(Job job, boolean withinGuarantee, long nowMicros) {
    long classMicros = classStartByMicros(job, nowMicros);
    if (!withinGuarantee || guaranteedStartMicros == Long.MAX_VALUE) {
      return classMicros;
    }
    long guaranteedMicros = job.releasedMicros() + guaranteedStartMicros;
    // Once it is missed, the objectives of the class are what is left to meet.
    boolean counts =
        guaranteedMicros >= nowMicros || (classMicros == Long.MAX_VALUE && !job.hasDeadline());
    return counts ? Math.min(classMicros, guaranteedMicros) : classMicros;
  }

  private long classStartByMicros(Job job, long nowMicros) {
    TargetTimes targets = startTargets.get(job.spec().jobClass());
    if (targets != null) {
      return targets.nextMicros(job.releasedMicros(), nowMicros);
    }
    return job.hasDeadline() ? Long.MAX_VALUE : job.releasedMicros() + defaultStartMicros;
  }

  /**
   * By when it should be complete: its deadline or what that of a dependent job leaves it, as many
   * times over as the objectives still allow, and the objectives of its class. Long.MAX_VALUE for
   * none.
   */
  long finishByMicros(Job job, long nowMicros) {
    long deadlineMicros =
        job.hasDeadline() ? extendedDeadlineMicros(job, nowMicros) : Long.MAX_VALUE;
    TargetTimes targets = finishTargets.get(job.spec().jobClass());
    return targets == null
        ? deadlineMicros
        : Math.min(deadlineMicros, targets.nextMicros(job.releasedMicros(), nowMicros));
  }

  private long extendedDeadlineMicros(Job job, long nowMicros) {
    long deadlineMicros = job.deadlineMicros();
    EffectiveGoal goal = job.goal();
    for (double multiple : deadlineMultiples.getOrDefault(goal.jobClass(), List.of())) {
      if (deadlineMicros >= nowMicros) {
        break;
      }
      deadlineMicros =
          goal.submittedMicros()
              + (long) (goal.deadlineMicros() * Math.max(1, multiple))
              - goal.downstreamPathMicros();
    }
    return deadlineMicros;
  }
}
