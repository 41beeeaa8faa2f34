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
 * Service-level objectives: computes the times by which a job's tasks should start and be complete,
 * from the job's deadline, the objectives of its class and the default start target.
 */
final class ServiceObjectives {
  /**
   * Kinds of objectives ({@link PlatformConfiguration.Objective#kind}) that this class supports;
   * objectives of other kinds are ignored.
   */
  private static final String START_KIND = "wait";

  private static final String FINISH_KIND = "finished";
  private static final String DEADLINE_KIND = "deadline";
  private static final String GUARANTEE_KIND = "guarantee";

  private final Map<String, TargetTimes> startTargets = new HashMap<>();
  private final Map<String, TargetTimes> finishTargets = new HashMap<>();

  /**
   * Factors, by job class and in ascending order, by which the time from a job's submission to its
   * deadline is multiplied once the deadline has been missed.
   */
  private final Map<String, List<Double>> deadlineMultiples = new HashMap<>();

  private final long defaultStartMicros;
  private long guaranteedStartMicros = Long.MAX_VALUE;

  /** Target times of one job class relative to the job's release, in ascending order. */
  private static final class TargetTimes {
    private final List<Long> withinMicros = new ArrayList<>();

    void add(long micros) {
      withinMicros.add(micros);
      Collections.sort(withinMicros);
    }

    /** Returns the earliest target that is not missed yet, or the last target if all are missed. */
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
   * Reads the objectives of a platform.
   *
   * @param defaultStartMicros start target for jobs without a deadline whose class has no start
   *     objective
   */
  ServiceObjectives(List<PlatformConfiguration.Objective> objectives, long defaultStartMicros) {
    this.defaultStartMicros = defaultStartMicros;
    for (PlatformConfiguration.Objective objective : objectives) {
      long withinMicros = ExpectedTimes.secondsToMicros(objective.withinS());
      if (objective.jobClass() != null) {
        addClassObjective(objective, withinMicros);
      } else if (objective.kind().equals(GUARANTEE_KIND)) {
        guaranteedStartMicros = Math.min(guaranteedStartMicros, withinMicros);
      }
    }
  }

  private void addClassObjective(PlatformConfiguration.Objective objective, long withinMicros) {
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
   * Returns the time by which the job should start: the earliest start objective that is not missed
   * yet. For a job whose class has no start objective: the default start target or, if the job has
   * a deadline, Long.MAX_VALUE.
   */
  long startByMicros(Job job, boolean withinGuarantee, long nowMicros) {
    long classMicros = classStartByMicros(job, nowMicros);
    if (!withinGuarantee || guaranteedStartMicros == Long.MAX_VALUE) {
      return classMicros;
    }
    long guaranteedMicros = job.releasedMicros() + guaranteedStartMicros;
    // Once the guaranteed start time is missed, the class objective or the job's deadline replaces
    // it. Without either, the guaranteed time remains the goal.
    boolean guaranteeApplies =
        guaranteedMicros >= nowMicros || (classMicros == Long.MAX_VALUE && !job.hasDeadline());
    return guaranteeApplies ? Math.min(classMicros, guaranteedMicros) : classMicros;
  }

  private long classStartByMicros(Job job, long nowMicros) {
    TargetTimes targets = startTargets.get(job.spec().jobClass());
    if (targets != null) {
      return targets.nextMicros(job.releasedMicros(), nowMicros);
    }
    return job.hasDeadline() ? Long.MAX_VALUE : job.releasedMicros() + defaultStartMicros;
  }

  /**
   * Returns the time by which the job should be complete: the earlier of its effective deadline and
   * the finish objective of its class. The effective deadline takes the deadlines of dependent jobs
   * into account. Once the deadline is missed, the next factor that an objective of the class
   * allows multiplies the time from submission to deadline. Long.MAX_VALUE if there is neither a
   * deadline nor a finish objective.
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
