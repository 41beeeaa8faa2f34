package plumlever.fleet;

import plumlever.wire.Priority;

/**
 * The deadline and the priority by which a job is scheduled: the job's own, or those inherited from
 * a dependent.
 *
 * @param submittedMicros time at which the job that has the deadline was submitted
 * @param deadlineMicros the deadline, relative to the submission; Long.MAX_VALUE for none
 * @param jobClass class of the job that has the deadline; the service-level objectives of the class
 *     define by how much the deadline may be missed
 * @param downstreamPathMicros duration of the longest path of dependents up to and including the
 *     job that has the deadline; 0 if the deadline is the job's own
 * @param priority the highest priority of the job and its dependents
 */
public record EffectiveGoal(
    long submittedMicros,
    long deadlineMicros,
    String jobClass,
    long downstreamPathMicros,
    Priority priority) {
  /**
   * The latest time at which the job with this goal has to end; Long.MAX_VALUE if it has no
   * deadline, own or inherited.
   */
  public long latestEndMicros() {
    return hasDeadline() ? submittedMicros + deadlineMicros - downstreamPathMicros : Long.MAX_VALUE;
  }

  private boolean hasDeadline() {
    return deadlineMicros != Long.MAX_VALUE;
  }

  /**
   * Returns the deadline and the priority that the dependencies of this job inherit. The
   * dependencies must end at the latest when this job has to start to meet the deadline.
   *
   * @param durationMicros estimated duration of this job
   */
  EffectiveGoal forDependency(long durationMicros) {
    return new EffectiveGoal(
        submittedMicros,
        deadlineMicros,
        jobClass,
        hasDeadline() ? downstreamPathMicros + durationMicros : 0,
        priority);
  }

  /** Returns a goal with the earlier of the two deadlines and the higher of the two priorities. */
  EffectiveGoal strictest(EffectiveGoal other) {
    EffectiveGoal earlier = other.latestEndMicros() < latestEndMicros() ? other : this;
    Priority highest = other.priority.compareTo(priority) < 0 ? other.priority : priority;
    return earlier.priority == highest ? earlier : earlier.withPriority(highest);
  }

  private EffectiveGoal withPriority(Priority otherPriority) {
    return new EffectiveGoal(
        submittedMicros, deadlineMicros, jobClass, downstreamPathMicros, otherPriority);
  }
}
