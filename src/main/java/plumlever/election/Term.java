package plumlever.election;

import plumlever.concurrent.Loop;
import plumlever.settings.SchedulerParameters;
import plumlever.store.Transaction;

/**
 * One term of leadership, and the right to act in it. Once it has ended it never comes back, also
 * if the same controller is elected again: whoever still works for the old term must not go on
 * under the right of the new one. Extended on leadership's thread, asked on any.
 */
public final class Term {
  /** Both clocks may be off by 0.05%; this allows for twice the sum. */
  private static final double DRIFT = 0.002;

  private final Loop clock;
  private final long number;
  private final long revision;
  private final long leaseId;
  private volatile long rightUntilMicros;
  private volatile boolean ended;

  Term(Loop clock, long number, long revision, long leaseId) {
    this.clock = clock;
    this.number = number;
    this.revision = revision;
    this.leaseId = leaseId;
  }

  public long number() {
    return number;
  }

  /** The revision at which the term was taken. */
  public long revision() {
    return revision;
  }

  /** The lease that leadership hangs on. */
  public long leaseId() {
    return leaseId;
  }

  /**
   * True while its holder may act for the controllers; asked again right before every answer and
   * order.
   */
  public boolean mayAct() {
    return !ended && clock.nowMicros() < rightUntilMicros;
  }

  /**
   * A precondition that holds as long as no later term has begun: what a leader writes of its own
   * work carries it, so that a write carried out late can't spoil a successor's.
   */
  public Transaction requireTerm() {
    return new Transaction().require(LeaderElection.TERM, revision);
  }

  long rightUntilMicros() {
    return rightUntilMicros;
  }

  /**
   * The lease that the term hangs on was renewed.
   *
   * @param sentMicros when that request had been sent
   */
  void extendFrom(long sentMicros, SchedulerParameters parameters) {
    long lastsMicros = (long) (parameters.leaseTtlMicros() * (1 - DRIFT));
    rightUntilMicros =
        Math.max(rightUntilMicros, sentMicros + lastsMicros - parameters.actMarginMicros());
  }

  void end() {
    ended = true;
  }
}
