package plumlever.fleet;

import plumlever.wire.Priority;

/**
 * The deadline and priority by which a job is scheduled: its own, or what a dependent leaves it.
 *
 * @param submittedMicros when the job with the deadline was submitted
 * @param deadlineMicros its deadline, counted from then on; Long.MAX_VALUE for none
 * @param jobClass its class, whose service-level objectives say by how much the deadline may be
 *     missed
 * @param downstreamPathMicros duration of the longest path of dependents up to and including the
 *     job with the deadline; 0 where it is the job's own
 * @param priority the most urgent of the job and its dependents
 */
public record EffectiveGoal(
    long submittedMicros,
    long deadlineMicros,
    String jobClass,
    long downstreamPathMicros,
    Priority priority) {
  /** By when this job has to end; Long.MAX_VALUE where no deadline applies. */
  public long latestEndMicros() {
    return hasDeadline() ? submittedMicros + deadlineMicros - downstreamPathMicros : Long.MAX_VALUE;
  }

  private boolean hasDeadline() {
    return deadlineMicros != Long.MAX_VALUE;
  }

  /** What this goal of a job that takes so long leaves its dependencies. */
  EffectiveGoal forDependency(long durationMicros) {
    return new EffectiveGoal(
        submittedMicros,
        deadlineMicros,
        jobClass,
        hasDeadline() ? downstreamPathMicros + durationMicros : 0,
        priority);
  }

  /** The earlier deadline and the more urgent priority of the two. */
  EffectiveGoal strictest(EffectiveGoal other) {
    EffectiveGoal sooner = other.latestEndMicros() < latestEndMicros() ? other : this;
    Priority moreUrgent = other.priority.compareTo(priority) < 0 ? other.priority : priority;
    return sooner.priority == moreUrgent ? sooner : sooner.withPriority(moreUrgent);
  }

  private EffectiveGoal withPriority(Priority otherPriority) {
    return new EffectiveGoal(
        submittedMicros, deadlineMicros, jobClass, downstreamPathMicros, otherPriority);
  }
}
