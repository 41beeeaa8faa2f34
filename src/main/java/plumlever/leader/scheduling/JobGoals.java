package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;

/** By when the tasks of jobs have to start and end, and what that means for their order. */
final class JobGoals {
  /** A goal missed longer ago than this makes its job wait no longer behind others. */
  private static final long RECENTLY_MISSED_MICROS = 120_000_000;

  /** What a stopped task loses until it runs again: saving, waiting for capacity, its image. */
  private static final long RESTART_MICROS = 60_000_000;

  /** A task past its estimate is taken to need this part of the estimate still. */
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

  /** By when the job's tasks should start; Long.MAX_VALUE for any time. */
  long startByMicros(Job job, long nowMicros) {
    return objectives.startByMicros(job, guarantees.covers(job), nowMicros);
  }

  /** By when the job should be complete; Long.MAX_VALUE for any time. */
  long finishByMicros(Job job, long nowMicros) {
    return objectives.finishByMicros(job, nowMicros);
  }

  /**
   * When the job's next task has to run at the latest; tasks that ran before have met any objective
   * for a start.
   */
  long latestStartMicros(Job job, long nowMicros) {
    long finishByMicros = finishByMicros(job, nowMicros);
    long byFinish =
        finishByMicros == Long.MAX_VALUE
            ? Long.MAX_VALUE
            : finishByMicros - times.paddedRunMicros(job);
    return job.hasNeverStartedTask() ? Math.min(byFinish, startByMicros(job, nowMicros)) : byFinish;
  }

  /** How long the job has left, by its objectives for start and end; may be negative. */
  long remainingMicros(Job job, long costMicros, long nowMicros) {
    long finishByMicros = finishByMicros(job, nowMicros);
    long startByMicros = startByMicros(job, nowMicros);
    long endByStart = startByMicros == Long.MAX_VALUE ? startByMicros : startByMicros + costMicros;
    return Math.min(finishByMicros, endByStart) - nowMicros;
  }

  /**
   * What missed its goal a moment ago makes way for what can still meet its own, but not for ever.
   */
  static boolean missedRecently(long latestStartMicros, long nowMicros) {
    return latestStartMicros < nowMicros && nowMicros - latestStartMicros < RECENTLY_MISSED_MICROS;
  }

  /**
   * There may be no end of work that is more urgent or guaranteed, so what has waited long to begin
   * goes first.
   */
  boolean mustBegin(Job job, long nowMicros) {
    return !job.hasStarted()
        && nowMicros - job.releasedMicros() > context.parameters().mustStartMicros();
  }

  /** True if stopping the attempt now would make its job miss a finish that it can still meet. */
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
