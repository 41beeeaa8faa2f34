package plumlever.election;

import java.util.Optional;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * The term that this controller holds, if it holds one: renews its lease, and ends it when that
 * fails, when its decisions have stalled, or when it is given up.
 *
 * <p>Threads: everything runs on the election's loop, but for {@link #current()}, {@link
 * #leading()} and {@link #mayAct()}, which any thread may call, and for the time at which the
 * controller's own loop last ran, which that loop writes.
 */
final class HeldTerm implements AutoCloseable {
  /**
   * A leader whose decisions have stood still for this long serves nobody: far longer than any
   * lateness it may survive.
   */
  private static final long STALLED_MICROS = 10_000_000;

  /** The pause of a recurring task that waits to be woken. */
  private static final long UNTIL_WOKEN = -1;

  /** Told on the election's loop how terms end. */
  interface Observer {
    /** Before a term is given up: this controller is not to stand for this long. */
    void candidacyPaused(long pauseMicros);

    /** A term has ended. */
    void termEnded();
  }

  private final Logger log;
  private final Loop loop;
  private final StateClient store;
  private final SchedulerParameters parameters;
  private final LeadershipRecords records;
  private final ElectionListener listener;
  private final Observer observer;
  private final RecurringTask renewal;

  /** The term in which this controller leads, or null. */
  private volatile Term current;

  /** When the controller's own loop last ran; written there. */
  private volatile long controllerLoopRanMicros;

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

  /** The term in which this controller leads; any thread. */
  Optional<Term> current() {
    return Optional.ofNullable(current);
  }

  /** True while this controller leads; any thread. */
  boolean leading() {
    return current != null;
  }

  /** True while this controller may act in the term that it holds; any thread. */
  boolean mayAct() {
    Term term = current;
    return term != null && term.mayAct();
  }

  /**
   * An election has been won.
   *
   * @param sentMicros when the request for the term's lease had been sent
   */
  void begin(Term term, long sentMicros) {
    records.elected(term.number());
    controllerLoopRanMicros = loop.nowMicros();
    term.extendFrom(sentMicros, parameters);
    current = term;
    if (!term.mayAct()) {
      stepDown("the lease expired during the election");
      return;
    }
    log.info("leading, term {}", term.number());
    renewal.runAfter(parameters.leaseRenewalMicros());
    listener.elected(term);
  }

  private long renewLease() {
    Term term = current;
    if (term == null) {
      return UNTIL_WOKEN;
    }
    long now = loop.nowMicros();
    if (!term.mayAct()) {
      stepDown("the lease could not be renewed");
      return UNTIL_WOKEN;
    }
    if (now - controllerLoopRanMicros > STALLED_MICROS) {
      giveUp(term, "its decisions have stalled", STALLED_MICROS);
      return UNTIL_WOKEN;
    }
    listener.executeOnControllerLoop(() -> controllerLoopRanMicros = loop.nowMicros());
    store.renewLease(term.leaseId(), result -> renewalAnswered(term, now, result));
    return Math.min(parameters.leaseRenewalMicros(), Math.max(1, term.rightUntilMicros() - now));
  }

  private void renewalAnswered(Term term, long sentMicros, StateClient.RenewalResult result) {
    if (current != term) {
      return;
    }
    switch (result) {
      case RENEWED -> term.extendFrom(sentMicros, parameters);
      case ENDED -> stepDown("the lease has ended");
      case UNKNOWN -> {
        long leftMicros = Math.max(1, term.rightUntilMicros() - loop.nowMicros());
        renewal.runAfter(Math.min(ElectionBackoff.RETRY_MICROS, leftMicros));
      }
    }
  }

  /** Gives the term up if it is still held, and its lease with it. */
  void giveUp(Term term, String why, long pauseMicros) {
    observer.candidacyPaused(pauseMicros);
    if (current == term) {
      stepDown(why);
      store.revokeLease(term.leaseId());
    }
  }

  /** Ends the term that is held; its lease expires by itself. */
  void stepDown(String why) {
    Term term = current;
    term.end();
    current = null;
    log.info("no longer leading term {}: {}", term.number(), why);
    listener.steppedDown(term);
    records.leadershipEnded();
    observer.termEnded();
  }

  @Override
  public void close() {
    renewal.close();
  }
}
