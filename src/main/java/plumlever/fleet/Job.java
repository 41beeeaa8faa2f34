package plumlever.fleet;

import java.util.BitSet;
import java.util.Optional;
import org.agrona.collections.Int2ObjectHashMap;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * An accepted job that has not ended, and what is known of its tasks. Until its registration is
 * stored none of its tasks is started, so that a later leader knows which jobs may be on a machine.
 *
 * <p>Times are in microseconds on this controller's steady clock.
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

  /** Tasks that completed. */
  private final BitSet completedTasks = new BitSet();

  /** The part of {@link #completedTasks} that the state service holds. */
  private final BitSet storedTasks = new BitSet();

  /** Tasks that are neither completed nor possibly on a machine. */
  private final BitSet pending = new BitSet();

  private final Int2ObjectHashMap<Attempt> liveAttempts = new Int2ObjectHashMap<>();

  /** Tasks that ran before and are not completed. */
  private final BitSet restarted = new BitSet();

  private final RetryBackoff backoff = new RetryBackoff();

  private int completedCount;
  private boolean over;
  private boolean hasStarted;
  private double ratioSum;
  private int ratioCount;

  /**
   * A job of which no task has run, as far as is known.
   *
   * @param revision of the record that accepted it
   * @param inherited true if an earlier leader may have started its tasks
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
    pending.set(0, spec.taskCount());
  }

  /** The job as its user submitted it. */
  public JobSpec spec() {
    return spec;
  }

  /** The id that its user gave it. */
  public String uid() {
    return spec.uid();
  }

  /** Revision of the record that accepted it; its end is guarded by it. */
  public long revision() {
    return revision;
  }

  /** When it was accepted. */
  public long acceptedMicros() {
    return acceptedMicros;
  }

  /**
   * True while some dependency is not done: none of its tasks may start, and it is no demand for
   * machines yet.
   */
  public boolean waitsForDependencies() {
    return waitsForDependencies;
  }

  /** Some dependency is not done. */
  public void blockOnDependencies() {
    waitsForDependencies = true;
  }

  /**
   * True once another controller has said that it is cancelled, which may be before it is known
   * here from the records.
   */
  public boolean cancellationConfirmed() {
    return cancellationConfirmed;
  }

  /** Another controller says that it is cancelled; final. */
  public void confirmCancellation() {
    cancellationConfirmed = true;
  }

  /**
   * All dependencies are done.
   *
   * @param endedMicros when the last of them ended
   */
  public void release(long endedMicros) {
    waitsForDependencies = false;
    releasedMicros = Math.max(acceptedMicros, endedMicros);
  }

  /** From when its waiting counts: when it was accepted, or released where it has dependencies. */
  public long releasedMicros() {
    return releasedMicros;
  }

  /** Its own deadline and priority, or the stricter ones that its dependents leave it. */
  public EffectiveGoal goal() {
    return goal;
  }

  /** Replaces the goal, since that of a dependent has changed. */
  public void setGoal(EffectiveGoal newGoal) {
    goal = newGoal;
  }

  /** Its own, or that of a more urgent dependent. */
  public Priority priority() {
    return goal.priority();
  }

  /** True if it or a dependent has a deadline. */
  public boolean hasDeadline() {
    return goal.deadlineMicros() != Long.MAX_VALUE;
  }

  /**
   * By when it has to be done, by its own deadline or that of a dependent; Long.MAX_VALUE where
   * there is none.
   */
  public long deadlineMicros() {
    return goal.latestEndMicros();
  }

  /** True if an earlier leader may have started its tasks on machines not yet accounted for. */
  public boolean inherited() {
    return inherited;
  }

  /** The tasks that completed; a view that is not to be changed. */
  public BitSet completedTasks() {
    return completedTasks;
  }

  /** Completed tasks that the state service holds; whoever stores or reads progress adds to it. */
  public BitSet storedTasks() {
    return storedTasks;
  }

  /** How many tasks completed. */
  public int completedCount() {
    return completedCount;
  }

  /** True once all tasks completed. */
  public boolean complete() {
    return completedCount == spec.taskCount();
  }

  /** How many tasks are neither completed nor possibly on a machine. */
  public int pendingCount() {
    return pending.cardinality();
  }

  /** True if some task is neither completed nor possibly on a machine. */
  public boolean hasPending() {
    return !pending.isEmpty();
  }

  /**
   * The pending task to start next, or -1: one that never ran if there is one, since objectives for
   * starts count the first start of each task.
   */
  public int nextPendingTask() {
    for (int task = pending.nextSetBit(0); task >= 0; task = pending.nextSetBit(task + 1)) {
      if (!restarted.get(task)) {
        return task;
      }
    }
    return pending.nextSetBit(0);
  }

  /** True if some pending task never ran. */
  public boolean hasNeverStartedTask() {
    int task = nextPendingTask();
    return task >= 0 && !restarted.get(task);
  }

  /** The attempts that are not over. */
  public Iterable<Attempt> liveAttempts() {
    return liveAttempts.values();
  }

  /** How many attempts are not over. */
  public int liveAttemptCount() {
    return liveAttempts.size();
  }

  /** The task's attempt that is not over, or null. */
  public Attempt liveAttempt(int task) {
    return liveAttempts.get(task);
  }

  /** True once the job is done, cancelled or dropped: none of its tasks may start any more. */
  public boolean over() {
    return over;
  }

  /** The job is done, cancelled or dropped. */
  public void markOver() {
    over = true;
  }

  /** The task has completed; repeated calls change nothing. */
  public void markCompleted(int task) {
    if (task < spec.taskCount() && !completedTasks.get(task)) {
      completedTasks.set(task);
      completedCount++;
      pending.clear(task);
    }
  }

  /** True once any of its tasks was seen to run. */
  public boolean hasStarted() {
    return hasStarted || completedCount > 0;
  }

  /** One of its tasks was seen to run. */
  public void markStarted() {
    hasStarted = true;
  }

  /** A task may be on a machine from now on. */
  void addAttempt(Attempt attempt) {
    pending.clear(attempt.task());
    liveAttempts.put(attempt.task(), attempt);
  }

  /** The attempt is surely over: its task is pending again unless it completed. */
  void removeAttempt(Attempt attempt) {
    int task = attempt.task();
    if (liveAttempts.get(task) != attempt) {
      return;
    }
    liveAttempts.remove(task);
    if (!completedTasks.get(task)) {
      pending.set(task);
      if (attempt.runningSinceMicros() >= 0) {
        restarted.set(task);
      }
    }
  }

  /** True if the task ran before: its next attempt says nothing of its whole run time. */
  public boolean restarted(int task) {
    return restarted.get(task);
  }

  /** The zone that a one-zone job is bound to by its live tasks, if it is. */
  public Optional<String> boundZone() {
    if (!spec.oneZone() || liveAttempts.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(liveAttempts.values().iterator().next().machine().zone());
  }

  /** An attempt failed for a reason that may lie in the job. */
  public void recordError(long nowMicros) {
    backoff.recordError(nowMicros);
  }

  /** A task completed, so earlier errors do not count any more. */
  public void recordSuccess() {
    backoff.recordSuccess();
  }

  /** After errors no attempt starts until then; 0 where none need wait. */
  public long retryNotBeforeMicros() {
    return backoff.retryNotBeforeMicros();
  }

  /** A task ran this many times as long as its owner's estimate. */
  public void observeRunTimeRatio(double ratio) {
    ratioSum += ratio;
    ratioCount++;
  }

  /**
   * How many times as long as their owner's estimate its tasks run: the mean of those observed and
   * one that stands for the job's class.
   */
  public double runTimeRatio(double classRatio) {
    return (ratioSum + classRatio) / (ratioCount + 1);
  }
}
