package plumlever.fleet;

import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.TaskName;

/**
 * One attempt to run a task on a machine. It ends only by proof, see {@link Fleet#endAttempt}.
 *
 * <p>Times are in microseconds on this controller's steady clock.
 */
public final class Attempt {
  private final Job job;
  private final int task;
  private final long id;
  private final Machine machine;
  private final long incarnation;
  private final long answeredSequenceNumber;
  private final long directCommandToken;
  private final long sentMicros;

  /** As last reported; null before the first report. */
  private AttemptState state;

  private long runningSinceMicros = -1;
  private boolean over;
  private ExitCause exitCause;
  private boolean stopping;
  private double gracePeriodS;
  private long stopRequestedMicros;

  /** An attempt in the machine's present worker incarnation. */
  Attempt(Job job, int task, long id, Machine machine, AttemptOrigin origin, long sentMicros) {
    this.job = job;
    this.task = task;
    this.id = id;
    this.machine = machine;
    this.incarnation = machine.contact().incarnation();
    this.answeredSequenceNumber = origin.answeredSequenceNumber();
    this.directCommandToken = origin.directCommandToken();
    this.sentMicros = sentMicros;
  }

  /** The job whose task it runs. */
  public Job job() {
    return job;
  }

  /** The number of the task within its job. */
  public int task() {
    return task;
  }

  /** The name of the task. */
  public TaskName name() {
    return new TaskName(job.uid(), task);
  }

  /** Its number, which is unique over all terms. */
  public long id() {
    return id;
  }

  /** The machine that it was started on. */
  public Machine machine() {
    return machine;
  }

  /** The worker incarnation that it was started in. */
  public long incarnation() {
    return incarnation;
  }

  /** Number of the heartbeat whose answer started it, -1 for any other attempt. */
  public long answeredSequenceNumber() {
    return answeredSequenceNumber;
  }

  /** Token of the direct command that started it, -1 for any other attempt. */
  public long directCommandToken() {
    return directCommandToken;
  }

  /** True for an attempt of an earlier term that its machine reported. */
  public boolean adopted() {
    return answeredSequenceNumber == AttemptOrigin.NONE && directCommandToken == AttemptOrigin.NONE;
  }

  /** When it was started, or first reported where an earlier leader started it. */
  public long sentMicros() {
    return sentMicros;
  }

  /** True once a report has shown it. */
  public boolean reported() {
    return state != null;
  }

  /** True if it was running when it was last reported. */
  public boolean running() {
    return state == AttemptState.RUNNING;
  }

  /** When it was first reported as running, or -1. */
  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** A report shows the attempt in this state. */
  public void recordState(AttemptState reported, long nowMicros) {
    if (reported == AttemptState.RUNNING && runningSinceMicros < 0) {
      runningSinceMicros = nowMicros;
      job.markStarted();
    }
    confirmStart();
    state = reported;
  }

  /** True while it was started by a direct command and no report has shown it. */
  boolean unconfirmed() {
    return directCommandToken != AttemptOrigin.NONE && !reported() && !over;
  }

  private void confirmStart() {
    if (unconfirmed()) {
      machine.load().attemptConfirmed();
    }
  }

  /** True when it surely runs no more. */
  public boolean over() {
    return over;
  }

  /** Why it ended, as reported; null while it runs, or if it ended without a report. */
  public ExitCause exitCause() {
    return exitCause;
  }

  /** The attempt is surely over; see {@link Fleet#endAttempt}. */
  void end(ExitCause cause) {
    confirmStart();
    if (!over) {
      machine.load().attemptEnded();
    }
    over = true;
    exitCause = cause;
  }

  /** True once it has been told to stop. */
  public boolean stopping() {
    return stopping;
  }

  /** How long it may save its work before it is ended. */
  public double gracePeriodS() {
    return gracePeriodS;
  }

  /**
   * From now on every answer to its machine says stop, until it is reported as ended. A repeated
   * request can only shorten the grace period.
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

  /** When it was first told to stop. */
  public long stopRequestedMicros() {
    return stopRequestedMicros;
  }
}
