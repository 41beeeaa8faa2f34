package plumlever.fleet;

import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.TaskName;

/** One try at running a task on a machine. It ends only by proof, see {@link Fleet#end}. */
public final class Attempt {
  private final Job job;
  private final int task;
  private final long id;
  private final Machine machine;
  private final long incarnation;
  private final long answeredSequenceNumber;
  private final long directCommandToken;
  private final long sentMicros;
  private AttemptState state;
  private long runningSinceMicros = -1;
  private boolean over;
  private ExitCause exitCause;
  private boolean stopping;
  private double gracePeriodS;
  private long stopRequestedMicros;

  /**
   * @param sentSequenceNumber number of the heartbeat whose answer carried the command, -1 for any
   *     other attempt
   * @param directToken token of the direct command that started it, -1 for any other attempt
   */
  Attempt(
      Job job,
      int task,
      long id,
      Machine machine,
      long incarnation,
      long answeredSequenceNumber,
      long directCommandToken,
      long sentMicros) {
    this.job = job;
    this.task = task;
    this.id = id;
    this.machine = machine;
    this.incarnation = incarnation;
    this.answeredSequenceNumber = answeredSequenceNumber;
    this.directCommandToken = directCommandToken;
    this.sentMicros = sentMicros;
  }

  public Job job() {
    return job;
  }

  public int task() {
    return task;
  }

  public TaskName name() {
    return new TaskName(job.uid(), task);
  }

  public long id() {
    return id;
  }

  public Machine machine() {
    return machine;
  }

  public long incarnation() {
    return incarnation;
  }

  public long answeredSequenceNumber() {
    return answeredSequenceNumber;
  }

  public long directCommandToken() {
    return directCommandToken;
  }

  /** True for an attempt of an earlier term that its machine reported. */
  public boolean adopted() {
    return answeredSequenceNumber < 0 && directCommandToken < 0;
  }

  public long sentMicros() {
    return sentMicros;
  }

  /** Null until the worker has reported it. */
  public AttemptState state() {
    return state;
  }

  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** A heartbeat shows the attempt in this state. */
  public void recordState(AttemptState now, long nowMicros) {
    if (now == AttemptState.RUNNING && runningSinceMicros < 0) {
      runningSinceMicros = nowMicros;
      job.markStarted();
    }
    confirmStart();
    state = now;
  }

  /** True while it was sent straight to the machine and nothing has been heard of it. */
  boolean unconfirmed() {
    return directCommandToken >= 0 && state == null && !over;
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

  /** Why it ended, as reported; null if it vanished with its machine or incarnation. */
  public ExitCause exitCause() {
    return exitCause;
  }

  void end(ExitCause why) {
    confirmStart();
    if (!over) {
      machine.load().attemptEnded();
    }
    over = true;
    exitCause = why;
  }

  public boolean stopping() {
    return stopping;
  }

  public double gracePeriodS() {
    return gracePeriodS;
  }

  /** From now on every answer to its machine says stop, until it is reported as ended. */
  public void requestStop(double gracePeriod, long nowMicros) {
    if (!stopping) {
      stopping = true;
      stopRequestedMicros = nowMicros;
      gracePeriodS = gracePeriod;
    } else {
      gracePeriodS = Math.min(gracePeriodS, gracePeriod);
    }
  }

  public long stopRequestedMicros() {
    return stopRequestedMicros;
  }
}
