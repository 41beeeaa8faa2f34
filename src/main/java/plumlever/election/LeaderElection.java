package plumlever.election;

import java.util.Optional;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.Scope;
import plumlever.metrics.LoggerProvider;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * Elects the leader among the controllers. The leader holds a key that is attached to a lease of
 * the state service; the transaction that creates the key also increments the term. The time during
 * which a leader may act is counted from the <em>sending</em> of its last successful lease renewal,
 * and the state service counts the lease from the later arrival. The leader therefore stops acting
 * before the lease can expire and another leader can be elected.
 *
 * <p>The election runs on a separate loop, so that scheduling passes, heartbeat load and class
 * loading do not delay renewals or elections. A leader whose controller loop has stalled resigns.
 * The components are {@link LeadershipRecords} (the known state), {@link LeadershipWatch} (reads
 * and watches that state), {@link Candidacy} (attempts to become leader) and {@link HeldTerm} (the
 * term being held); all of them are used on the election loop only. All public methods of this
 * class may be called on any thread.
 */
public final class LeaderElection implements AutoCloseable {
  static final String PREFIX = "office/";

  /**
   * The key by which a controller announces that it renews leases of workers on behalf of the
   * leader, see {@link RenewalAnnouncement}.
   */
  static final String RENEWAL_ANNOUNCEMENT = PREFIX + "stand-in";

  /**
   * The key by which the leader allows the other controllers to renew leases of workers on its
   * behalf, see {@link DelegatedRenewal}.
   */
  public static final String DELEGATION = PREFIX + "mandate";

  /**
   * The key of the record of the current leader; attached to the leader's lease, so that it is
   * deleted when the lease ends.
   */
  public static final String LEADER = PREFIX + "leader";

  /**
   * The key of the record of the last term. Every write of a leader requires that this record is
   * unchanged since the leader was elected.
   */
  public static final String TERM = PREFIX + "term";

  private final String label;
  private final EventLoop loop;
  private final SchedulerParameters parameters;
  private final Scope scope = new Scope();
  private final LeadershipRecords records;
  private final LeadershipWatch watch;
  private final HeldTerm heldTerm;
  private final Candidacy candidacy;

  /**
   * Creates a candidate that takes part in elections after {@link #start}.
   *
   * @param loop runs the election
   * @param store the state service client on that loop
   * @param listener called on that loop when a term begins or ends
   */
  public LeaderElection(
      ElectionSettings settings,
      EventLoop loop,
      StateClient store,
      ElectionListener listener,
      LoggerProvider loggerProvider) {
    this.label = settings.label();
    this.loop = loop;
    this.parameters = settings.parameters();
    Logger log = loggerProvider.of(LeaderElection.class);
    SplittableRandom random = new SplittableRandom(settings.seed());
    Candidate candidate = new Candidate(label, Long.toHexString(random.nextLong()));
    ElectionBackoff backoff = new ElectionBackoff(random);
    Coordinator coordinator = new Coordinator();
    this.records = new LeadershipRecords(log, loop, candidate, settings.poolTerms().isPresent());
    ElectionContext context = new ElectionContext(loop, store, parameters, records);
    this.watch = scope.own(new LeadershipWatch(context, backoff, coordinator));
    this.heldTerm = scope.own(new HeldTerm(log, context, listener, coordinator));
    this.candidacy =
        scope.own(new Candidacy(candidate, context, backoff, settings.poolTerms(), coordinator));
  }

  /** Reads the leadership records and attempts to become leader whenever leadership is vacant. */
  public void start() {
    loop.execute(watch::start);
  }

  /**
   * Returns true while this controller holds a term, even if the leader's lease no longer allows it
   * to act.
   */
  public boolean leading() {
    return heldTerm.leading();
  }

  /** Returns the last known term of any controller; 0 before the first term. */
  public long term() {
    return records.term();
  }

  /**
   * Returns the revision of the delegation record for which another controller last announced that
   * it renews leases; -1 if none did. The value may be out of date.
   */
  public long announcedDelegationRevision() {
    return records.announcedDelegationRevision();
  }

  /**
   * Returns true if the last known leadership records include a delegation record, by which the
   * leader lets other controllers renew leases.
   */
  public boolean delegationExists() {
    return records.delegationExists();
  }

  /**
   * Returns true if this controller must neither lead nor serve users: the state service contains
   * the marker of a pool of shards, but this controller has no sharing settings. It would treat the
   * machines of the whole pool as its own.
   */
  public boolean ineligible() {
    return records.ineligible();
  }

  /** Returns true while this controller may act as the leader, in any term. */
  public boolean mayAct() {
    return heldTerm.mayAct();
  }

  /**
   * Returns the label of the controller that leads, if it was recently known to lead. Never returns
   * this controller's own label while this controller does not lead.
   */
  public Optional<String> leaderLabel() {
    boolean seenRecently =
        loop.nowMicros() - records.leaderSeenMicros()
            < LeadershipWatch.WATCH_TIMEOUT_MICROS + 2 * parameters.leaseTtlMicros();
    return records
        .leaderLabel()
        .filter(leader -> seenRecently && !(leader.equals(label) && !heldTerm.leading()));
  }

  /**
   * Ends the term immediately and delays the next attempt, so that another controller is elected.
   *
   * @param term the term to end; has no effect on a term that has ended already
   * @param reason the reason for the log
   */
  public void resign(Term term, String reason, long pauseMicros) {
    term.end();
    loop.execute(() -> heldTerm.resign(term, reason, pauseMicros));
  }

  /** Passes events between the components of leader election; used on the election loop only. */
  private final class Coordinator
      implements LeadershipWatch.Observer, HeldTerm.Observer, Candidacy.Observer {
    @Override
    public boolean leading() {
      return heldTerm.leading();
    }

    @Override
    public boolean attemptInProgress() {
      return candidacy.attemptInProgress();
    }

    @Override
    public void recordsRead() {
      if (heldTerm.leading()) {
        if (records.ledByAnother()) {
          heldTerm.stepDown("another controller holds the leader key");
        }
      } else if (!candidacy.attemptInProgress() && records.leadershipVacant()) {
        candidacy.scheduleAttempt();
      }
    }

    @Override
    public void refreshFailed() {
      candidacy.scheduleRetry();
    }

    @Override
    public void electionWon(Term term, long sentMicros) {
      heldTerm.begin(term, sentMicros);
    }

    @Override
    public void electionLost() {
      watch.refresh();
    }

    @Override
    public void attemptsPaused(long pauseMicros) {
      candidacy.pause(pauseMicros);
    }

    @Override
    public void termEnded() {
      loop.after(ElectionBackoff.RETRY_MICROS, watch::refresh);
    }
  }

  /** Resigns leadership if held, and takes part in no further elections. */
  @Override
  public void close() {
    loop.execute(
        () -> {
          heldTerm.current().ifPresent(term -> heldTerm.resign(term, "shutting down", 0));
          scope.close();
        });
  }
}
