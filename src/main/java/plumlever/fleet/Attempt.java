package plumlever.fleet;

import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.TaskName;

/**
 * An attempt to run a task on a machine. An attempt only ends when there is proof that it does not
 * run any more, see {@link Fleet#endAttempt}.
 *
 * <p>Times are in microseconds of this controller's monotonic clock.
 */
public final class Attempt {
  private final Job job;
  private final int task;
  private final long id;
  private final Machine machine;
  private final long incarnation;
  private final long startHeartbeatSequenceNumber;
  private final long directCommandToken;
  private final long startSentMicros;

  /** The state in the last heartbeat that lists the attempt; null until a heartbeat lists it. */
  private AttemptState state;

  private long runningSinceMicros = -1;
  private boolean ended;
  private ExitCause exitCause;
  private boolean stopping;
  private double gracePeriodS;
  private long stopRequestedMicros;

  /** Creates an attempt in the current worker incarnation of the machine. */
  Attempt(Job job, int task, long id, Machine machine, AttemptOrigin origin, long startSentMicros) {
    this.job = job;
    this.task = task;
    this.id = id;
    this.machine = machine;
    this.incarnation = machine.contact().incarnation();
    this.startHeartbeatSequenceNumber = origin.heartbeatSequenceNumber();
    this.directCommandToken = origin.directCommandToken();
    this.startSentMicros = startSentMicros;
  }

  public Job job() {
    return job;
  }

  /** Index of the task within its job. */
  public int task() {
    return task;
  }

  public TaskName name() {
    return new TaskName(job.uid(), task);
  }

  /** The attempt number, unique across all terms. */
  public long id() {
    return id;
  }

  /** The machine to which the attempt's start command was sent. */
  public Machine machine() {
    return machine;
  }

  /**
   * The incarnation of the worker (a number that increases each time its lease expires) in which
   * the attempt was started.
   */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Sequence number of the heartbeat whose response contained the start command, or -1 if the
   * attempt was not started by a heartbeat response.
   */
  public long startHeartbeatSequenceNumber() {
    return startHeartbeatSequenceNumber;
  }

  /**
   * Fencing token of the direct command (a command sent in a call to the worker, not in the
   * response to a heartbeat) that started the attempt, or -1 if no direct command started the
   * attempt.
   */
  public long directCommandToken() {
    return directCommandToken;
  }

  /**
   * True if this leader did not start the attempt, but learned about it from a heartbeat or from
   * the record of the machine's transfer to this shard.
   */
  public boolean adopted() {
    return startHeartbeatSequenceNumber == AttemptOrigin.NONE
        && directCommandToken == AttemptOrigin.NONE;
  }

  /**
   * Time at which this leader sent the start command. For an attempt that this leader did not
   * start, the time at which this leader learned of the attempt.
   */
  public long startSentMicros() {
    return startSentMicros;
  }

  /** True once a heartbeat of the machine has listed the attempt. */
  public boolean reported() {
    return state != null;
  }

  /** True if the attempt was running according to the last heartbeat that lists it. */
  public boolean running() {
    return state == AttemptState.RUNNING;
  }

  /** Time at which a heartbeat first reported the attempt as running, or -1 if none has. */
  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** Records the state of the attempt that a heartbeat of the machine reports. */
  public void recordState(AttemptState reported, long nowMicros) {
    if (reported == AttemptState.RUNNING && runningSinceMicros < 0) {
      runningSinceMicros = nowMicros;
      job.markStarted();
    }
    confirmStart();
    state = reported;
  }

  /**
   * True if a direct command started the attempt, no heartbeat has listed the attempt yet, and the
   * attempt has not ended.
   */
  boolean unconfirmed() {
    return directCommandToken != AttemptOrigin.NONE && !reported() && !ended;
  }

  private void confirmStart() {
    if (unconfirmed()) {
      machine.load().recordConfirmedAttempt();
    }
  }

  /** True once the attempt is proven not to run any more. */
  public boolean hasEnded() {
    return ended;
  }

  /**
   * The reported cause of the end; null if the attempt has not ended, or if its end was inferred
   * without a reported cause.
   */
  public ExitCause exitCause() {
    return exitCause;
  }

  /** Marks the attempt as ended; see {@link Fleet#endAttempt}. */
  void end(ExitCause cause) {
    confirmStart();
    if (!ended) {
      machine.load().recordEndedAttempt();
    }
    ended = true;
    exitCause = cause;
  }

  /** True once a stop of the attempt has been requested. */
  public boolean stopping() {
    return stopping;
  }

  /** Seconds that the task may use to save its work before the worker terminates it. */
  public double gracePeriodS() {
    return gracePeriodS;
  }

  /**
   * Requests a stop of the attempt. Every heartbeat response to the machine then contains the stop
   * command until the machine reports that the attempt has ended. A repeated request can only
   * shorten the grace period.
   */
  public void requestStop(double maxGracePeriodS, long nowMicros) {
    if (stopping) {
      gracePeriodS = Math.min(gracePeriodS, maxGracePeriodS);
      return;
    }
    stopping = true;
    stopRequestedMicros = nowMicros;
    gracePeriodS = maxGracePeriodS;
  }

  /**
   * Time at which a stop of the attempt was first requested; meaningful only if {@link #stopping}.
   */
  public long stopRequestedMicros() {
    return stopRequestedMicros;
  }
}
