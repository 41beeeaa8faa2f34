package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;

/**
 * Computes the times by which the tasks of a job have to start and end, and the resulting
 * scheduling precedence.
 */
final class JobGoals {
  /**
   * Time for which a job that missed its goal (the latest time of its start or end) is scheduled
   * after jobs that can still meet theirs.
   */
  private static final long RECENTLY_MISSED_MICROS = 120_000_000;

  /**
   * Time that a preempted task loses until it runs again: checkpoint, wait for capacity and image
   * fetch.
   */
  private static final long RESTART_MICROS = 60_000_000;

  /**
   * A task that has run for longer than its estimated run time is assumed to need at least 1/10 of
   * the estimate more.
   */
  private static final long MIN_REMAINING_DIVISOR = 10;

  private final TermContext context;
  private final ServiceObjectives objectives;
  private final TeamGuarantees guarantees;
  private final ExpectedTimes times;

  JobGoals(TermContext context, TeamGuarantees guarantees, ExpectedTimes times) {
    this.context = context;
    this.guarantees = guarantees;
    this.times = times;
    this.objectives =
        new ServiceObjectives(
            context.platform().objectives(), context.parameters().startTargetMicros());
  }

  /** Time by which the job's tasks should start; Long.MAX_VALUE if there is no limit. */
  long startByMicros(Job job, long nowMicros) {
    return objectives.startByMicros(job, guarantees.covers(job), nowMicros);
  }

  /** Time by which the job should be complete; Long.MAX_VALUE if there is no limit. */
  long finishByMicros(Job job, long nowMicros) {
    return objectives.finishByMicros(job, nowMicros);
  }

  /**
   * Returns the time by which the job's next task must be running for the job to meet its finish
   * goal and, if some task of the job has never been started, its start goal. Long.MAX_VALUE if
   * there is no limit.
   */
  long latestStartMicros(Job job, long nowMicros) {
    long finishByMicros = finishByMicros(job, nowMicros);
    long byFinish =
        finishByMicros == Long.MAX_VALUE
            ? Long.MAX_VALUE
            : finishByMicros - times.paddedRunMicros(job);
    return job.hasNeverStartedTask() ? Math.min(byFinish, startByMicros(job, nowMicros)) : byFinish;
  }

  /**
   * Time left until the job can no longer end as its finish goal and its start goal require,
   * whichever is earlier; negative after that. A start goal requires the end {@code durationMicros}
   * later.
   *
   * @param durationMicros estimated time from the job's release to the end of its tasks
   */
  long remainingMicros(Job job, long durationMicros, long nowMicros) {
    long finishByMicros = finishByMicros(job, nowMicros);
    long startByMicros = startByMicros(job, nowMicros);
    long endByStart =
        startByMicros == Long.MAX_VALUE ? startByMicros : startByMicros + durationMicros;
    return Math.min(finishByMicros, endByStart) - nowMicros;
  }

  /**
   * True if the job missed its goal less than {@link #RECENTLY_MISSED_MICROS} ago. Jobs that can
   * still meet their goals are scheduled before such a job. The limit prevents starvation.
   */
  static boolean missedRecently(long latestStartMicros, long nowMicros) {
    return latestStartMicros < nowMicros && nowMicros - latestStartMicros < RECENTLY_MISSED_MICROS;
  }

  /**
   * True if the job has waited longer than the operator's starvation limit and none of its tasks
   * has run. The job then precedes all others, because a steady stream of more urgent or guaranteed
   * jobs would starve it.
   */
  boolean isStarving(Job job, long nowMicros) {
    return !job.hasStarted()
        && nowMicros - job.releasedMicros() > context.parameters().starvationLimitMicros();
  }

  /**
   * True if the attempt's job can still meet its finish goal, but would miss it if the attempt were
   * stopped now.
   */
  boolean missesFinishIfStopped(Attempt attempt, long nowMicros) {
    long finishByMicros = finishByMicros(attempt.job(), nowMicros);
    if (finishByMicros == Long.MAX_VALUE || attempt.runningSinceMicros() < 0) {
      return false;
    }
    long runMicros = times.runMicros(attempt.job());
    long remainingMicros =
        Math.max(
            runMicros / MIN_REMAINING_DIVISOR,
            runMicros - (nowMicros - attempt.runningSinceMicros()));
    return nowMicros + remainingMicros <= finishByMicros
        && nowMicros + remainingMicros + RESTART_MICROS > finishByMicros;
  }
}
