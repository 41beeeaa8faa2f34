package plumlever.fleet;

import java.util.BitSet;
import java.util.Optional;
import org.agrona.collections.Int2ObjectHashMap;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * An accepted job that has not ended, and the state of its tasks.
 *
 * <p>No task of the job is started before the job's registration is stored, so that a later leader
 * can determine which jobs may have tasks on a machine.
 *
 * <p>Times are in microseconds of this controller's monotonic clock.
 */
public final class Job extends Registrable {
  private static final double MICROS_PER_SECOND = 1e6;

  private final JobSpec spec;
  private final long revision;
  private final long acceptedMicros;

  private long releasedMicros;

  private boolean waitsForDependencies;
  private boolean cancellationConfirmed;
  private EffectiveGoal goal;

  private final boolean inherited;

  private final BitSet completedTasks = new BitSet();

  /** The subset of {@link #completedTasks} that is stored in the state service. */
  private final BitSet storedTasks = new BitSet();

  /** Tasks that have not completed and have no live attempt (an attempt that has not ended). */
  private final BitSet pendingTasks = new BitSet();

  private final Int2ObjectHashMap<Attempt> liveAttempts = new Int2ObjectHashMap<>();

  /** Tasks of which an attempt ran and ended without completing the task. */
  private final BitSet restartedTasks = new BitSet();

  private final RetryBackoff backoff = new RetryBackoff();
  private final FailureHistory failures = new FailureHistory();

  private int completedCount;
  private boolean ended;
  private boolean hasStarted;
  private double ratioSum;
  private int ratioCount;

  /**
   * Creates a job for which no attempts are known yet.
   *
   * @param revision revision of the record that accepted the job
   * @param inherited true if an earlier leader may have started tasks of the job
   */
  public Job(JobSpec spec, long revision, long acceptedMicros, boolean inherited) {
    this.spec = spec;
    this.revision = revision;
    this.acceptedMicros = acceptedMicros;
    this.releasedMicros = acceptedMicros;
    this.goal =
        new EffectiveGoal(
            acceptedMicros,
            spec.hasDeadline() ? (long) (spec.deadlineS() * MICROS_PER_SECOND) : Long.MAX_VALUE,
            spec.jobClass(),
            0,
            spec.priority());
    this.inherited = inherited;
    pendingTasks.set(0, spec.taskCount());
  }

  /** The job as submitted by the user. */
  public JobSpec spec() {
    return spec;
  }

  /** The job id chosen by the user. */
  public String uid() {
    return spec.uid();
  }

  /**
   * Revision of the record that accepted the job. The transaction that ends the job has the
   * precondition that the record still has this revision.
   */
  public long revision() {
    return revision;
  }

  public long acceptedMicros() {
    return acceptedMicros;
  }

  /**
   * True while at least one dependency of the job is not done. Until then, no task of the job may
   * start, and the job does not count as demand for machines.
   */
  public boolean waitsForDependencies() {
    return waitsForDependencies;
  }

  /** Marks the job as waiting for a dependency that is not done. */
  public void blockOnDependencies() {
    waitsForDependencies = true;
  }

  /**
   * True once another controller has confirmed the cancellation of the job, possibly before this
   * controller has read the cancellation from the records.
   */
  public boolean cancellationConfirmed() {
    return cancellationConfirmed;
  }

  /** Records that another controller has confirmed the cancellation. A cancellation is final. */
  public void confirmCancellation() {
    cancellationConfirmed = true;
  }

  /**
   * Releases the job because all of its dependencies are done.
   *
   * @param endedMicros time at which the last dependency ended
   */
  public void release(long endedMicros) {
    waitsForDependencies = false;
    releasedMicros = Math.max(acceptedMicros, endedMicros);
  }

  /**
   * Time from which the job's waiting time counts: the release time if the job has dependencies,
   * otherwise the time of acceptance.
   */
  public long releasedMicros() {
    return releasedMicros;
  }

  /**
   * The job's own deadline and priority, or the stricter ones that it inherits from its dependents.
   */
  public EffectiveGoal goal() {
    return goal;
  }

  /**
   * Replaces the effective goal (deadline and priority) after the goal of a dependent has changed.
   */
  public void setGoal(EffectiveGoal newGoal) {
    goal = newGoal;
  }

  /** The higher of the job's own priority and the priorities of its dependents. */
  public Priority priority() {
    return goal.priority();
  }

  /** True if the job or one of its dependents has a deadline. */
  public boolean hasDeadline() {
    return goal.deadlineMicros() != Long.MAX_VALUE;
  }

  /**
   * The latest time at which the job has to complete, from its own deadline or from that of a
   * dependent; Long.MAX_VALUE if neither has a deadline.
   */
  public long deadlineMicros() {
    return goal.latestEndMicros();
  }

  /**
   * True if an earlier leader may have started tasks of the job, including tasks that this leader
   * does not know yet.
   */
  public boolean inherited() {
    return inherited;
  }

  /** The completed tasks, as a live view that callers must not modify. */
  public BitSet completedTasks() {
    return completedTasks;
  }

  /**
   * The completed tasks that are stored in the state service. The returned set is live: code that
   * stores or reads progress records adds tasks to it.
   */
  public BitSet storedTasks() {
    return storedTasks;
  }

  public int completedCount() {
    return completedCount;
  }

  /** True once all tasks have completed. */
  public boolean complete() {
    return completedCount == spec.taskCount();
  }

  /** The number of tasks that have not completed and have no live attempt. */
  public int pendingCount() {
    return pendingTasks.cardinality();
  }

  /** True if some task has not completed and has no live attempt. */
  public boolean hasPending() {
    return !pendingTasks.isEmpty();
  }

  /**
   * The pending task to start next, or -1 if no task is pending. Tasks that never ran come first,
   * because the start-time objectives count the first start of each task.
   */
  public int nextPendingTask() {
    for (int task = pendingTasks.nextSetBit(0);
        task >= 0;
        task = pendingTasks.nextSetBit(task + 1)) {
      if (!restartedTasks.get(task)) {
        return task;
      }
    }
    return pendingTasks.nextSetBit(0);
  }

  /** True if some pending task has never run. */
  public boolean hasNeverStartedTask() {
    int task = nextPendingTask();
    return task >= 0 && !restartedTasks.get(task);
  }

  /** The attempts that have not ended. */
  public Iterable<Attempt> liveAttempts() {
    return liveAttempts.values();
  }

  /** The number of attempts that have not ended. */
  public int liveAttemptCount() {
    return liveAttempts.size();
  }

  /** The task's attempt that has not ended, or null. */
  public Attempt liveAttempt(int task) {
    return liveAttempts.get(task);
  }

  /**
   * True once the job is done or cancelled, or its record is no longer listed among those of the
   * active jobs. No task of the job may start after that.
   */
  public boolean hasEnded() {
    return ended;
  }

  /** Marks the job as done, cancelled or no longer listed as active. */
  public void markEnded() {
    ended = true;
  }

  /** Marks the task as completed. Idempotent. */
  public void markCompleted(int task) {
    if (task < spec.taskCount() && !completedTasks.get(task)) {
      completedTasks.set(task);
      completedCount++;
      pendingTasks.clear(task);
    }
  }

  /** True once a task of the job has been seen running. */
  public boolean hasStarted() {
    return hasStarted || completedCount > 0;
  }

  /** Records that a task of the job has been seen running. */
  public void markStarted() {
    hasStarted = true;
  }

  /** Adds a live attempt of this job. From now on the attempt's task may be on a machine. */
  void addAttempt(Attempt attempt) {
    pendingTasks.clear(attempt.task());
    liveAttempts.put(attempt.task(), attempt);
  }

  /**
   * Removes an attempt that has ended. Its task becomes pending again unless the task has
   * completed.
   */
  void removeAttempt(Attempt attempt) {
    int task = attempt.task();
    if (liveAttempts.get(task) != attempt) {
      return;
    }
    liveAttempts.remove(task);
    if (!completedTasks.get(task)) {
      pendingTasks.set(task);
      if (attempt.runningSinceMicros() >= 0) {
        restartedTasks.set(task);
      }
    }
  }

  /**
   * True if an attempt of the task ran before and ended without completing the task. The run time
   * of the next attempt is then not the run time of the whole task.
   */
  public boolean restarted(int task) {
    return restartedTasks.get(task);
  }

  /**
   * The zone of the live tasks of a one-zone job. Empty for other jobs and for jobs without live
   * tasks.
   */
  public Optional<String> boundZone() {
    if (!spec.oneZone() || liveAttempts.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(liveAttempts.values().iterator().next().machine().zone());
  }

  /**
   * Records that an attempt of the job failed on the machine, possibly because of a fault in the
   * job, and delays the next attempt.
   */
  public void recordError(Machine machine, long nowMicros) {
    failures.recordError(machine.id(), nowMicros);
    backoff.recordError(nowMicros);
  }

  /**
   * Records that a worker did not know the job when it was to start a task, and delays the next
   * attempt.
   */
  public void recordUnknownToWorker(long nowMicros) {
    backoff.recordError(nowMicros);
  }

  /**
   * Records that a task of the job completed on the machine, which ends the retry delay and resets
   * the count of consecutive errors.
   */
  public void recordSuccess(Machine machine) {
    failures.recordSuccess(machine.id());
    backoff.recordSuccess();
  }

  /** The machines on which tasks of the job have failed. */
  public FailureHistory failures() {
    return failures;
  }

  /**
   * The earliest time at which the job's next attempt may start after errors; 0 if there is no
   * delay.
   */
  public long retryNotBeforeMicros() {
    return backoff.retryNotBeforeMicros();
  }

  /** Adds the ratio of a task's run time to the run time that the job's owner estimated. */
  public void observeRunTimeRatio(double ratio) {
    ratioSum += ratio;
    ratioCount++;
  }

  /**
   * The expected ratio of the actual run time of the job's tasks to the owner's estimate: the mean
   * of the ratios observed for this job, with the ratio of the job class as one more sample.
   */
  public double runTimeRatio(double classRatio) {
    return (ratioSum + classRatio) / (ratioCount + 1);
  }
}
