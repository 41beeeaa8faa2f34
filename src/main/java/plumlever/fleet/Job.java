package plumlever.fleet;

import java.util.BitSet;
import org.agrona.collections.Int2ObjectHashMap;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/** An accepted job that has not ended, and what is known of its tasks. */
public final class Job implements Registrable {
  /** Errors before the pauses grow. */
  private static final int FREE_ERRORS = 2;

  private static final int DOUBLINGS = 6;
  private static final long FIRST_PAUSE_MICROS = 1_000_000;
  private static final long MOST_PAUSE_MICROS = 60_000_000;

  private final JobSpec spec;
  private final long revision;
  private final long acceptedMicros;

  /** When the last job that it waits on ended; what counts waiting work counts from here. */
  private long releasedMicros;

  private boolean waitsForDependencies;
  private boolean cancellationConfirmed;
  private DependencyGraph.EffectiveGoal goal;

  /** An earlier leader may have started its tasks on machines not yet accounted for. */
  private final boolean inherited;

  /** Tasks that completed. */
  private final BitSet completedTasks = new BitSet();

  /** The part of {@link #done} that the state service holds. */
  private final BitSet storedTasks = new BitSet();

  /** Tasks that are neither done nor possibly on a machine. */
  private final BitSet pending = new BitSet();

  private final Int2ObjectHashMap<Attempt> liveAttempts = new Int2ObjectHashMap<>();

  /** Tasks that ran before: what they take the next time tells nothing of their whole run time. */
  private final BitSet restarted = new BitSet();

  private RegistrationState registration = RegistrationState.NONE;
  private int completedCount;
  private boolean over;
  private boolean hasStarted;
  private int errors;
  private long retryNotBeforeMicros;
  private double ratioSum;
  private int ratioCount;

  /**
   * @param acceptedMicros on this controller's steady clock
   */
  public Job(JobSpec spec, long revision, long acceptedMicros, boolean inherited) {
    this.spec = spec;
    this.revision = revision;
    this.acceptedMicros = acceptedMicros;
    this.releasedMicros = acceptedMicros;
    this.goal =
        new DependencyGraph.EffectiveGoal(
            acceptedMicros,
            spec.hasDeadline() ? (long) (spec.deadlineS() * 1e6) : Long.MAX_VALUE,
            spec.jobClass(),
            0,
            spec.priority());
    this.inherited = inherited;
    pending.set(0, spec.taskCount());
  }

  public JobSpec spec() {
    return spec;
  }

  public String uid() {
    return spec.uid();
  }

  /** Revision of the record that accepted it; its end is guarded by it. */
  public long revision() {
    return revision;
  }

  public long acceptedMicros() {
    return acceptedMicros;
  }

  /** It waits for other jobs: none of its tasks may start, and it counts for nothing yet. */
  public boolean waitsForDependencies() {
    return waitsForDependencies;
  }

  public void blockOnDependencies() {
    waitsForDependencies = true;
  }

  /**
   * Another controller says that it is cancelled: true before it is known here from the records,
   * and for ever.
   */
  public boolean cancellationConfirmed() {
    return cancellationConfirmed;
  }

  public void confirmCancellation() {
    cancellationConfirmed = true;
  }

  /** All that it waits on is done. */
  public void release(long sinceMicros) {
    waitsForDependencies = false;
    releasedMicros = Math.max(acceptedMicros, sinceMicros);
  }

  /** From when its waiting counts: when it was accepted, or released where it waits on others. */
  public long releasedMicros() {
    return releasedMicros;
  }

  /** What it is worth: its own deadline and priority, or what jobs that need it leave it. */
  public DependencyGraph.EffectiveGoal goal() {
    return goal;
  }

  public void setGoal(DependencyGraph.EffectiveGoal now) {
    goal = now;
  }

  /** Its own, or of a more urgent job that needs it. */
  public Priority priority() {
    return goal.priority();
  }

  public boolean hasDeadline() {
    return goal.deadlineMicros() != Long.MAX_VALUE;
  }

  /**
   * By when it has to be done, its own deadline or what that of a job that needs it leaves;
   * Long.MAX_VALUE for any time.
   */
  public long deadlineMicros() {
    return goal.latestEndMicros();
  }

  public boolean inherited() {
    return inherited;
  }

  /**
   * Until it is stored none of its tasks is ordered, so that a successor knows which jobs may be on
   * a machine.
   */
  @Override
  public RegistrationState registration() {
    return registration;
  }

  @Override
  public void setRegistration(RegistrationState now) {
    registration = now;
  }

  public BitSet completedTasks() {
    return completedTasks;
  }

  public BitSet storedTasks() {
    return storedTasks;
  }

  public int completedCount() {
    return completedCount;
  }

  public boolean complete() {
    return completedCount == spec.taskCount();
  }

  public int pendingCount() {
    return pending.cardinality();
  }

  public boolean hasPending() {
    return !pending.isEmpty();
  }

  /** A task that never ran, if there is one free: aims for starts count the first. */
  public int nextPendingTask() {
    for (int i = pending.nextSetBit(0); i >= 0; i = pending.nextSetBit(i + 1)) {
      if (!restarted.get(i)) {
        return i;
      }
    }
    return pending.nextSetBit(0);
  }

  public boolean hasNeverStartedTask() {
    int index = nextPendingTask();
    return index >= 0 && !restarted.get(index);
  }

  public Iterable<Attempt> liveAttempts() {
    return liveAttempts.values();
  }

  public int liveAttemptCount() {
    return liveAttempts.size();
  }

  public Attempt liveAttempt(int task) {
    return liveAttempts.get(task);
  }

  /** True once the job is done, cancelled or dropped: none of its tasks may start any more. */
  public boolean over() {
    return over;
  }

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

  public void markStarted() {
    hasStarted = true;
  }

  /** A task may be on a machine from now on. */
  void addAttempt(Attempt attempt) {
    pending.clear(attempt.task());
    liveAttempts.put(attempt.task(), attempt);
  }

  /** The attempt is surely over. */
  void release(Attempt attempt) {
    if (liveAttempts.get(attempt.task()) == attempt) {
      liveAttempts.remove(attempt.task());
      if (!completedTasks.get(attempt.task())) {
        pending.set(attempt.task());
        if (attempt.runningSinceMicros() >= 0) {
          restarted.set(attempt.task());
        }
      }
    }
  }

  public boolean restarted(int task) {
    return restarted.get(task);
  }

  /** The zone that a one-zone job is bound to by its live tasks, or null. */
  public String boundZone() {
    if (!spec.oneZone() || liveAttempts.isEmpty()) {
      return null;
    }
    return liveAttempts.values().iterator().next().machine().zone();
  }

  /**
   * A job submitted with a mistake fails on every machine; growing pauses keep it from wearing the
   * fleet out until its user cancels it.
   */
  public void recordError(long nowMicros) {
    errors = Math.min(errors + 1, 16);
    long pause =
        errors <= FREE_ERRORS
            ? FIRST_PAUSE_MICROS
            : Math.min(
                MOST_PAUSE_MICROS, FIRST_PAUSE_MICROS << Math.min(errors - FREE_ERRORS, DOUBLINGS));
    retryNotBeforeMicros = Math.max(retryNotBeforeMicros, nowMicros + pause);
  }

  public void recordSuccess() {
    errors = 0;
    retryNotBeforeMicros = 0;
  }

  /** A task ran this many times as long as its owner's estimate. */
  public void observeRunTimeRatio(double runTimeRatio) {
    ratioSum += runTimeRatio;
    ratioCount++;
  }

  /**
   * Mean of what was observed of its own tasks, mixed with what its class suggests while they are
   * few.
   */
  public double runTimeRatio(double classRatio) {
    return (ratioSum + classRatio) / (ratioCount + 1);
  }

  public int errors() {
    return errors;
  }

  public long retryNotBeforeMicros() {
    return retryNotBeforeMicros;
  }
}
