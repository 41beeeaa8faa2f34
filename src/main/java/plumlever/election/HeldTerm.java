package plumlever.election;

import java.util.Optional;
import org.slf4j.Logger;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.RecurringTask;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * The term in which this controller leads, if it leads. Renews the lease of the term. Ends the term
 * when the renewal fails, when the controller loop has stalled, or when the controller resigns.
 *
 * <p>Threads: everything runs on the election loop, except {@link #current()}, {@link #leading()}
 * and {@link #mayAct()}, which may be called on any thread, and the time of the last run of the
 * controller loop, which that loop writes.
 */
final class HeldTerm implements AutoCloseable {
  /**
   * A leader resigns if its controller loop has run nothing for this long. The limit is far above
   * any delay from which a leader is expected to recover.
   */
  private static final long STALL_TIMEOUT_MICROS = 10_000_000;

  /**
   * Returned by the recurring task of lease renewal: it runs again only when a renewal is
   * scheduled.
   */
  private static final long UNTIL_SCHEDULED = -1;

  /** Notified on the election loop when a term of this controller ends. */
  interface Observer {
    /**
     * Called when this controller resigns leadership. The observer must make no election attempt
     * during this pause, so that another controller is elected.
     */
    void attemptsPaused(long pauseMicros);

    /** Called when a leadership term of this controller has ended. */
    void termEnded();
  }

  private final Logger log;
  private final EventLoop loop;
  private final StateClient store;
  private final SchedulerParameters parameters;
  private final LeadershipRecords records;
  private final ElectionListener listener;
  private final Observer observer;
  private final RecurringTask renewal;

  /** The term in which this controller leads, or null. */
  private volatile Term current;

  /**
   * The time at which the controller loop last ran the action by which this class detects that the
   * loop has stalled; written on the controller loop.
   */
  private volatile long controllerLoopLastRanMicros;

  HeldTerm(Logger log, ElectionContext context, ElectionListener listener, Observer observer) {
    this.log = log;
    this.loop = context.loop();
    this.store = context.store();
    this.parameters = context.parameters();
    this.records = context.records();
    this.listener = listener;
    this.observer = observer;
    this.renewal = new RecurringTask("lease renewal", loop, this::renewLease);
  }

  /** Returns the term in which this controller leads, if any; may be called on any thread. */
  Optional<Term> current() {
    return Optional.ofNullable(current);
  }

  /** Returns true while this controller leads; may be called on any thread. */
  boolean leading() {
    return current != null;
  }

  /**
   * Returns true while this controller holds a term and its lease allows it to act as the leader;
   * may be called on any thread.
   */
  boolean mayAct() {
    Term term = current;
    return term != null && term.mayAct();
  }

  /**
   * Starts a term after this controller has won an election.
   *
   * @param sentMicros the send time of the request that created the lease of the term
   */
  void begin(Term term, long sentMicros) {
    records.elected(term.number());
    controllerLoopLastRanMicros = loop.nowMicros();
    term.extendFrom(sentMicros, parameters);
    current = term;
    if (!term.mayAct()) {
      stepDown("the lease expired during the election");
      return;
    }
    log.info("now leading term {}", term.number());
    renewal.scheduleAfter(parameters.leaseRenewalIntervalMicros());
    listener.elected(term);
  }

  private long renewLease() {
    Term term = current;
    if (term == null) {
      return UNTIL_SCHEDULED;
    }
    long now = loop.nowMicros();
    if (!term.mayAct()) {
      stepDown("the lease was not renewed in time");
      return UNTIL_SCHEDULED;
    }
    if (now - controllerLoopLastRanMicros > STALL_TIMEOUT_MICROS) {
      resign(term, "the controller loop has stalled", STALL_TIMEOUT_MICROS);
      return UNTIL_SCHEDULED;
    }
    listener.executeOnControllerLoop(() -> controllerLoopLastRanMicros = loop.nowMicros());
    store.renewLease(term.leaseId(), result -> renewalCompleted(term, now, result));
    return Math.min(
        parameters.leaseRenewalIntervalMicros(), Math.max(1, term.mayActUntilMicros() - now));
  }

  private void renewalCompleted(Term term, long sentMicros, StateClient.RenewalResult result) {
    if (current != term) {
      return;
    }
    switch (result) {
      case RENEWED -> term.extendFrom(sentMicros, parameters);
      case ENDED -> stepDown("the state service reports that the lease has ended");
      case UNKNOWN -> {
        long leftMicros = Math.max(1, term.mayActUntilMicros() - loop.nowMicros());
        renewal.scheduleAfter(Math.min(ElectionBackoff.RETRY_MICROS, leftMicros));
      }
    }
  }

  /**
   * Ends the term and revokes its lease, unless the term has ended already. In any case, delays
   * this controller's next election attempt by the given pause.
   */
  void resign(Term term, String reason, long pauseMicros) {
    observer.attemptsPaused(pauseMicros);
    if (current == term) {
      stepDown(reason);
      store.revokeLease(term.leaseId());
    }
  }

  /** Ends the held term without revoking its lease, which expires on its own. */
  void stepDown(String reason) {
    Term term = current;
    term.end();
    current = null;
    log.info("no longer leading term {}: {}", term.number(), reason);
    listener.steppedDown(term);
    records.leadershipEnded();
    observer.termEnded();
  }

  @Override
  public void close() {
    renewal.close();
  }
}
