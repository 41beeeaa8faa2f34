package plumlever.election;

import plumlever.concurrent.EventLoop;
import plumlever.lease.ClockDrift;
import plumlever.settings.SchedulerParameters;
import plumlever.store.Transaction;

/**
 * One term of leadership and the right to act in it. A term that has ended never becomes valid
 * again, even if the same controller is re-elected, so that work started in the old term cannot
 * continue under the new one.
 *
 * <p>Threads: the right to act is extended on the election loop only; all public methods and {@link
 * #end} may be called on any thread.
 */
public final class Term {
  private final EventLoop loop;
  private final long number;
  private final long revision;
  private final long leaseId;
  private volatile long mayActUntilMicros;
  private volatile boolean ended;

  Term(EventLoop loop, long number, long revision, long leaseId) {
    this.loop = loop;
    this.number = number;
    this.revision = revision;
    this.leaseId = leaseId;
  }

  /** Returns the number of the term, which is unique and higher than that of every earlier term. */
  public long number() {
    return number;
  }

  /** Returns the state service revision of the transaction that elected the leader. */
  public long revision() {
    return revision;
  }

  /** Returns the id of the lease to which the leader key is attached. */
  public long leaseId() {
    return leaseId;
  }

  /**
   * Returns true while the leader may act in this term. Callers must check this immediately before
   * every response to a user and every command to a worker.
   */
  public boolean mayAct() {
    return !ended && loop.nowMicros() < mayActUntilMicros;
  }

  /**
   * Returns a new transaction with the precondition that no later term has begun. A leader adds its
   * writes to this transaction, so that a delayed write cannot overwrite records of its successor.
   */
  public Transaction requireTerm() {
    return new Transaction().require(LeaderElection.TERM, revision);
  }

  /**
   * Returns the time, by the monotonic clock, at which the right to act expires unless the lease is
   * renewed or the term ends earlier.
   */
  long mayActUntilMicros() {
    return mayActUntilMicros;
  }

  /**
   * Extends the leader's right to act after its lease was created or renewed.
   *
   * @param sentMicros the time at which the request that created or renewed the lease was sent
   */
  void extendFrom(long sentMicros, SchedulerParameters parameters) {
    long validMicros = ClockDrift.minElapsedMicros(parameters.leaseTtlMicros());
    mayActUntilMicros =
        Math.max(
            mayActUntilMicros, sentMicros + validMicros - parameters.leaseSafetyMarginMicros());
  }

  /** Ends the term: the right to act in it is lost for good. */
  void end() {
    ended = true;
  }
}
