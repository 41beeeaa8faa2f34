package plumlever.election;

import plumlever.concurrent.Loop;
import plumlever.lease.ClockDrift;
import plumlever.settings.SchedulerParameters;
import plumlever.store.Transaction;

/**
 * One term of leadership, and the right to act in it. Once it has ended it never comes back, also
 * if the same controller is elected again: whoever still works for the old term must not go on
 * under the right of the new one.
 *
 * <p>Threads: the right is extended on the election's loop only; everything public may be called on
 * any thread, {@link #end} as well.
 */
public final class Term {
  private final Loop loop;
  private final long number;
  private final long revision;
  private final long leaseId;
  private volatile long rightUntilMicros;
  private volatile boolean ended;

  Term(Loop loop, long number, long revision, long leaseId) {
    this.loop = loop;
    this.number = number;
    this.revision = revision;
    this.leaseId = leaseId;
  }

  /** Unique among all terms, and above all earlier ones. */
  public long number() {
    return number;
  }

  /** The revision at which the term was taken. */
  public long revision() {
    return revision;
  }

  /** The lease that the leader's key is attached to. */
  public long leaseId() {
    return leaseId;
  }

  /**
   * True while its holder may act for the controllers; asked again right before every answer and
   * command.
   */
  public boolean mayAct() {
    return !ended && loop.nowMicros() < rightUntilMicros;
  }

  /**
   * A transaction that requires that no later term has begun: what a leader writes of its own work
   * is added to it, so that a write carried out late can't spoil a successor's.
   */
  public Transaction requireTerm() {
    return new Transaction().require(LeaderElection.TERM, revision);
  }

  /** Until when its holder may act, unless it is ended sooner. */
  long rightUntilMicros() {
    return rightUntilMicros;
  }

  /**
   * The term's lease was created or renewed.
   *
   * @param sentMicros when that request had been sent
   */
  void extendFrom(long sentMicros, SchedulerParameters parameters) {
    long validMicros = ClockDrift.shortestMicros(parameters.leaseTtlMicros());
    rightUntilMicros =
        Math.max(rightUntilMicros, sentMicros + validMicros - parameters.actMarginMicros());
  }

  /** Ends the right to act for good. */
  void end() {
    ended = true;
  }
}
