package plumlever.election;

import java.util.Optional;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.concurrent.Scope;
import plumlever.metrics.Logs;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;

/**
 * Who leads. The leader holds a key that is attached to a lease of the state service; taking it
 * raises the term in the same transaction. How long this controller may act is counted from when
 * its last successful renewal was <em>sent</em>, so it ends before the state service lets anyone
 * else in.
 *
 * <p>It runs on a loop of its own, so that no scheduling pass, no crowd of heartbeats and no first
 * use of code delays a renewal or an election; a leader whose controller loop has stalled gives
 * leadership up. The parts are {@link LeadershipRecords} (what is known), {@link LeadershipWatch}
 * (how it gets known), {@link Candidacy} (attempts at the election) and {@link HeldTerm} (the term
 * that is held); all of them belong to that loop. Everything public here may be called on any
 * thread.
 */
public final class LeaderElection implements AutoCloseable {
  static final String PREFIX = "office/";

  /** A controller's word that it renews leases under a delegation. */
  static final String RENEWAL_ANNOUNCEMENT = PREFIX + "stand-in";

  /** Allows the other controllers to renew leases for the leader, see {@link DelegatedRenewal}. */
  public static final String DELEGATION = PREFIX + "mandate";

  /** Attached to the leader's lease. */
  public static final String LEADER = PREFIX + "leader";

  /** The last term; every write of a leader requires its revision. */
  public static final String TERM = PREFIX + "term";

  private final String label;
  private final Loop loop;
  private final SchedulerParameters parameters;
  private final Scope scope = new Scope();
  private final LeadershipRecords records;
  private final LeadershipWatch watch;
  private final HeldTerm heldTerm;
  private final Candidacy candidacy;

  /**
   * A candidate that stands once it is started.
   *
   * @param loop that the election runs on
   * @param store client on that loop
   * @param listener told on that loop how terms begin and end
   */
  public LeaderElection(
      ElectionSettings settings,
      Loop loop,
      StateClient store,
      ElectionListener listener,
      Logs logs) {
    this.label = settings.label();
    this.loop = loop;
    this.parameters = settings.parameters();
    Logger log = logs.of(LeaderElection.class);
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

  /** Reads the leadership records, and stands whenever leadership is free. */
  public void start() {
    loop.execute(watch::start);
  }

  /** True while this controller holds a term, whether or not it may act in it. */
  public boolean leading() {
    return heldTerm.leading();
  }

  /** The last known term, of whatever controller; 0 before the first. */
  public long term() {
    return records.term();
  }

  /**
   * Revision of the delegation under which another controller has said that it renews leases; -1
   * before the first. It may be out of date: a hint, no proof.
   */
  public long announcedDelegation() {
    return records.announcedDelegation();
  }

  /** True if a delegation was there when leadership was last heard of: a hint to read it. */
  public boolean delegationSeen() {
    return records.delegationSeen();
  }

  /**
   * True where the state service holds a pool of shards and this controller has no sharing file: it
   * neither stands nor answers, for it would take the pool's machines for its own.
   */
  public boolean ineligible() {
    return records.ineligible();
  }

  /** True while this controller may act for the controllers, in whatever term. */
  public boolean mayAct() {
    return heldTerm.mayAct();
  }

  /** The live leader's label, if one is known lately. */
  public Optional<String> leaderLabel() {
    boolean fresh =
        loop.nowMicros() - records.leaderSeenMicros()
            < LeadershipWatch.WAIT_MICROS + 2 * parameters.leaseTtlMicros();
    return records
        .leaderLabel()
        .filter(leader -> fresh && !(leader.equals(label) && !heldTerm.leading()));
  }

  /**
   * Gives leadership up, at once, and does not stand for a while so that another controller gets
   * it.
   *
   * @param term nothing happens if it is no longer held
   * @param why for the log
   */
  public void resign(Term term, String why, long pauseMicros) {
    term.end();
    loop.execute(() -> heldTerm.giveUp(term, why, pauseMicros));
  }

  /** What the parts tell each other; on the election's loop only. */
  private final class Coordinator
      implements LeadershipWatch.Observer, HeldTerm.Observer, Candidacy.Observer {
    @Override
    public boolean leading() {
      return heldTerm.leading();
    }

    @Override
    public boolean standing() {
      return candidacy.standing();
    }

    @Override
    public void recordsRead() {
      if (heldTerm.leading()) {
        if (records.ledByAnother()) {
          heldTerm.stepDown("another controller leads");
        }
      } else if (!candidacy.standing() && records.leadershipFree()) {
        candidacy.standSoon();
      }
    }

    @Override
    public void refreshFailed() {
      candidacy.standLater();
    }

    @Override
    public void won(Term term, long sentMicros) {
      heldTerm.begin(term, sentMicros);
    }

    @Override
    public void lost() {
      watch.refresh();
    }

    @Override
    public void candidacyPaused(long pauseMicros) {
      candidacy.pause(pauseMicros);
    }

    @Override
    public void termEnded() {
      loop.after(ElectionBackoff.RETRY_MICROS, watch::refresh);
    }
  }

  /** Gives leadership up and stands no more. */
  @Override
  public void close() {
    loop.execute(
        () -> {
          heldTerm.current().ifPresent(term -> heldTerm.giveUp(term, "shutting down", 0));
          scope.close();
        });
  }
}
