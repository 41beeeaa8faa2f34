package plumlever.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.concurrent.Scope;
import plumlever.metrics.Logs;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.HttpStatus;
import plumlever.wire.Json;

/**
 * Who leads. The leader holds a key that hangs on a lease of the state service; taking it raises
 * the term in the same transaction. How long this controller may act is counted from when its last
 * successful renewal was <em>sent</em>, so it ends before the state service lets anyone else in.
 *
 * <p>It runs on a loop of its own, so that no round, no crowd of reports and no first use of code
 * delays a renewal or an election; one that has lost the thread that decides gives leadership up.
 * Everything public may be asked on any thread.
 */
public final class LeaderElection implements AutoCloseable {
  static final String PREFIX = "office/";

  /** A controller's word that it renews leases under a delegation. */
  static final String RENEWAL_ANNOUNCEMENT = PREFIX + "stand-in";

  /** Allows the other controllers to renew leases for the leader, see {@link DelegatedRenewal}. */
  public static final String DELEGATION = PREFIX + "mandate";

  /** Hangs on the leader's lease. */
  public static final String LEADER = PREFIX + "leader";

  /** The last term; every write of a leader is guarded by it. */
  public static final String TERM = PREFIX + "term";

  private static final long WATCH_MICROS = 5_000_000;
  private static final long RETRY_MICROS = 400_000;

  /**
   * A leader whose decisions have stood still for this long serves nobody: far longer than any
   * lateness it may survive.
   */
  private static final long STALLED_MICROS = 10_000_000;

  private final Logger log;
  private final String label;
  private final Loop loop;
  private final StateClient store;
  private final SchedulerParameters parameters;
  private final ElectionListener listener;
  private final SplittableRandom random;
  private final Scope scope = new Scope();
  private final RecurringTask renewal;
  private final RecurringTask candidacy;
  private final String nonce;

  /** Where terms come from if this is one cell of a pool. */
  private final Optional<PoolTerms> poolTerms;

  /** The state service holds a pool, of which this controller knows nothing. */
  private volatile boolean ineligible;

  private boolean known;
  private long storeRevision = -1;
  private long leaderRevision;
  private volatile String leaderLabel;
  private String leaderNonce;
  private volatile long leaderSeenMicros;
  private long termRevision;
  private volatile long term;

  /** The term in which this controller leads, or null. */
  private volatile Term current;

  private boolean busy;
  private volatile boolean delegationSeen;
  private volatile long announcedDelegation = -1;
  private long notBeforeMicros;
  private volatile long lastTurnMicros;
  private int lostElections;

  /** A candidate that stands once it is started. */
  public LeaderElection(
      String label,
      Loop loop,
      StateClient store,
      SchedulerParameters parameters,
      ElectionListener listener,
      Optional<PoolTerms> poolTerms,
      long seed,
      Logs logs) {
    this.poolTerms = poolTerms;
    this.log = logs.of(LeaderElection.class);
    this.label = label;
    this.loop = loop;
    this.store = store;
    this.parameters = parameters;
    this.listener = listener;
    this.random = new SplittableRandom(seed);
    this.nonce = Long.toHexString(random.nextLong());
    this.renewal = scope.own(new RecurringTask("lease renewal", loop, this::renewLease));
    this.candidacy = scope.own(new RecurringTask("candidacy", loop, this::campaign));
  }

  public void start() {
    loop.execute(this::read);
  }

  public boolean leading() {
    return current != null;
  }

  public long term() {
    return term;
  }

  /**
   * Revision of the delegation under which another controller has said that it renews leases;
   * advice.
   */
  public long announcedDelegation() {
    return announcedDelegation;
  }

  /** True if a delegation was there when leadership was last heard of: advice to look. */
  public boolean delegationSeen() {
    return delegationSeen;
  }

  /**
   * True where the state service holds a pool of cells and this controller has no sharing file: it
   * neither stands nor answers, for it would take the pool's machines for its own.
   */
  public boolean ineligible() {
    return ineligible;
  }

  /** True while this controller may act for the controllers, in whatever term. */
  public boolean mayAct() {
    Term term = current;
    return term != null && term.mayAct();
  }

  /** The live leader's label, or null if none is known lately. */
  public String leaderLabel() {
    boolean fresh =
        loop.nowMicros() - leaderSeenMicros < WATCH_MICROS + 2 * parameters.leaseTtlMicros();
    String who = leaderLabel;
    return who != null && fresh && !(who.equals(label) && current == null) ? who : null;
  }

  /**
   * Gives leadership up, at once, and does not stand for a while so that another controller gets
   * it.
   */
  public void resign(Term of, String why, long pauseMicros) {
    of.end();
    loop.execute(() -> withdraw(of, why, pauseMicros));
  }

  private void withdraw(Term of, String why, long pauseMicros) {
    notBeforeMicros = loop.nowMicros() + pauseMicros;
    if (current == of && of != null) {
      stepDown(why);
      store.revokeLease(of.leaseId());
    }
  }

  private void read() {
    if (scope.closed()) {
      return;
    }
    store.list(
        PREFIX,
        StateClient.RequestPriority.URGENT,
        listing -> {
          if (listing == null) {
            loop.after(RETRY_MICROS + random.nextInt(200_000), this::read);
            return;
          }
          leaderRevision = 0;
          leaderLabel = null;
          termRevision = 0;
          delegationSeen = listing.items().stream().anyMatch(i -> i.key().equals(DELEGATION));
          seePool(listing.items().stream().anyMatch(i -> i.key().equals(PoolTerms.MARKER)));
          long newTerm = 0;
          for (StateClient.Item item : listing.items()) {
            if (item.key().equals(LEADER)) {
              seeLeader(item.data(), item.revision());
            } else if (item.key().equals(TERM)) {
              termRevision = item.revision();
              newTerm = item.data().path("term").asLong();
            }
          }
          if (current == null) {
            term = newTerm;
          }
          storeRevision = listing.storeRevision();
          known = true;
          changed();
          watch();
        });
  }

  private void seePool(boolean found) {
    boolean nowIneligible = found && poolTerms.isEmpty();
    if (nowIneligible && !ineligible) {
      log.error("the state service holds a pool of cells: this controller needs its sharing file");
    }
    ineligible = nowIneligible;
  }

  private void seeLeader(com.fasterxml.jackson.databind.JsonNode data, long revision) {
    leaderRevision = revision;
    leaderLabel = data.path("label").asText();
    leaderNonce = data.path("nonce").asText();
    leaderSeenMicros = loop.nowMicros();
  }

  private void watch() {
    if (scope.closed()) {
      return;
    }
    store.watch(
        PREFIX,
        storeRevision,
        WATCH_MICROS,
        changes -> {
          if (changes.status() == HttpStatus.GONE) {
            read();
            return;
          }
          if (changes.status() != HttpStatus.OK) {
            // Refused or cut off: what is known grows old, so it is read anew before anything is
            // built on it.
            loop.after(RETRY_MICROS + random.nextInt(200_000), this::read);
            return;
          }
          storeRevision = Math.max(storeRevision, changes.storeRevision());
          for (StateClient.KeyEvent change : changes.events()) {
            if (change.key().equals(LEADER)) {
              if (change.data() == null && change.revision() > leaderRevision) {
                leaderRevision = 0;
                leaderLabel = null;
              } else if (change.data() != null && change.revision() > leaderRevision) {
                seeLeader(change.data(), change.revision());
              }
            } else if (change.key().equals(RENEWAL_ANNOUNCEMENT) && change.data() != null) {
              announcedDelegation = change.data().path("mandate").asLong(-1);
            } else if (change.key().equals(PoolTerms.MARKER)) {
              seePool(change.data() != null);
            } else if (change.key().equals(DELEGATION)) {
              delegationSeen = change.data() != null;
            } else if (change.key().equals(TERM)
                && change.data() != null
                && change.revision() > termRevision) {
              termRevision = change.revision();
              if (current == null) {
                term = change.data().path("term").asLong();
              }
            }
          }
          if (leaderLabel != null) {
            leaderSeenMicros = loop.nowMicros();
          }
          changed();
          watch();
        });
  }

  private boolean leadsByRecord() {
    return label.equals(leaderLabel) && nonce.equals(leaderNonce);
  }

  private void changed() {
    if (current != null) {
      if (!busy && leaderRevision != 0 && !leadsByRecord()) {
        stepDown("another controller leads");
      }
    } else if (!busy && (leaderRevision == 0 || label.equals(leaderLabel))) {
      // A key of this controller's own that it does not act on is left from an earlier life of this
      // process: that one is dead, so leadership is free.
      candidacy.runAfter(lostElections * 150_000L + random.nextInt(250_000));
    }
  }

  private long campaign() {
    if (current != null
        || busy
        || !known
        || ineligible
        || !(leaderRevision == 0 || label.equals(leaderLabel))) {
      return -1;
    }
    long now = loop.nowMicros();
    if (now < notBeforeMicros) {
      return notBeforeMicros - now;
    }
    busy = true;
    // The preconditions are what this decision was taken on: watch events go on arriving while the
    // lease is made, and a precondition on the newest revision would depose a leader elected in
    // between.
    long seenLeader = leaderRevision;
    long seenTerm = termRevision;
    if (poolTerms.isEmpty()) {
      campaign(now, seenLeader, seenTerm, new PoolTerms.Next(term + 1, 0));
      return -1;
    }
    poolTerms
        .get()
        .next(
            term,
            next -> {
              if (next.isEmpty()) {
                busy = false;
                candidacy.runAfter(RETRY_MICROS + random.nextInt(400_000));
              } else {
                campaign(loop.nowMicros(), seenLeader, seenTerm, next.get());
              }
            });
    return -1;
  }

  private void campaign(long now, long seenLeader, long seenTerm, PoolTerms.Next next) {
    long newTerm = next.term();
    store.createLease(
        parameters.leaseTtlMicros(),
        p -> {
          if (p < 0) {
            busy = false;
            candidacy.runAfter(RETRY_MICROS + random.nextInt(400_000));
            return;
          }
          long sentAt = now;
          ObjectNode leader =
              Json.object().put("label", label).put("nonce", nonce).put("term", newTerm);
          Transaction transaction =
              new Transaction()
                  .require(LEADER, seenLeader)
                  .require(TERM, seenTerm)
                  .put(LEADER, leader, p)
                  .put(TERM, Json.object().put("term", newTerm));
          if (poolTerms.isPresent()) {
            poolTerms.get().addTo(transaction, next, label, p);
          } else {
            transaction.drop(DELEGATION);
          }
          store.transaction(
              transaction,
              StateClient.RequestPriority.URGENT,
              result -> {
                switch (result.outcome()) {
                  case APPLIED -> becomeLeader(p, newTerm, result.revision(), sentAt);
                  case UNKNOWN -> resolveUncertainElection(p, newTerm, sentAt, 0);
                  default -> withdraw(p);
                }
              });
        });
  }

  /** An uncertain answer is settled by reading, never by assuming. */
  private void resolveUncertainElection(long leaseId, long newTerm, long sentAt, int tries) {
    store.get(
        LEADER,
        StateClient.RequestPriority.URGENT,
        got -> {
          if (got.found()
              && label.equals(got.item().data().path("label").asText())
              && nonce.equals(got.item().data().path("nonce").asText())
              && got.item().data().path("term").asLong() == newTerm) {
            // Both keys were put in one change and so have the same revision.
            becomeLeader(leaseId, newTerm, got.item().revision(), sentAt);
          } else if (got.found() || got.missing() || tries >= 3) {
            withdraw(leaseId);
          } else {
            loop.after(
                RETRY_MICROS, () -> resolveUncertainElection(leaseId, newTerm, sentAt, tries + 1));
          }
        });
  }

  private void withdraw(long leaseId) {
    // Ending the lease makes a late execution of the transaction fail.
    store.revokeLease(leaseId);
    busy = false;
    lostElections = Math.min(lostElections + 1, 6);
    loop.after(50_000, this::reread);
  }

  private void reread() {
    store.list(
        PREFIX,
        StateClient.RequestPriority.URGENT,
        listing -> {
          if (listing != null && current == null && !busy) {
            boolean leaderFound = false;
            for (StateClient.Item item : listing.items()) {
              if (item.key().equals(LEADER)) {
                leaderFound = true;
                seeLeader(item.data(), item.revision());
              } else if (item.key().equals(TERM)) {
                termRevision = item.revision();
                term = item.data().path("term").asLong();
              }
            }
            if (!leaderFound) {
              leaderRevision = 0;
              leaderLabel = null;
            }
            changed();
          } else if (listing == null) {
            candidacy.runAfter(RETRY_MICROS + random.nextInt(400_000));
          }
        });
  }

  private void becomeLeader(long leaseId, long newTerm, long revision, long sentAt) {
    Term otherTerm = new Term(loop, newTerm, revision, leaseId);
    busy = false;
    lostElections = 0;
    term = newTerm;
    leaderLabel = label;
    leaderNonce = nonce;
    leaderSeenMicros = loop.nowMicros();
    lastTurnMicros = loop.nowMicros();
    otherTerm.extendFrom(sentAt, parameters);
    current = otherTerm;
    if (!otherTerm.mayAct()) {
      stepDown("the lease ran out during the election");
      return;
    }
    log.info("leading, term {}", newTerm);
    renewal.runAfter(parameters.leaseRenewalMicros());
    listener.elected(otherTerm);
  }

  private long renewLease() {
    Term term = current;
    if (term == null) {
      return -1;
    }
    long now = loop.nowMicros();
    if (!term.mayAct()) {
      stepDown("the lease could not be renewed");
      return -1;
    }
    if (now - lastTurnMicros > STALLED_MICROS) {
      withdraw(term, "its decisions have stalled", STALLED_MICROS);
      return -1;
    }
    listener.whenTurning(() -> lastTurnMicros = loop.nowMicros());
    store.renewLease(
        term.leaseId(),
        result -> {
          if (current != term) {
            return;
          }
          switch (result) {
            case RENEWED -> term.extendFrom(now, parameters);
            case ENDED -> stepDown("the lease has ended");
            case UNKNOWN ->
                renewal.runAfter(
                    Math.min(
                        RETRY_MICROS, Math.max(1, term.rightUntilMicros() - loop.nowMicros())));
          }
        });
    return Math.min(parameters.leaseRenewalMicros(), Math.max(1, term.rightUntilMicros() - now));
  }

  private void stepDown(String why) {
    Term term = current;
    term.end();
    current = null;
    log.info("no longer leading term {}: {}", term.number(), why);
    listener.steppedDown(term);
    if (leadsByRecord()) {
      // Until the key is seen to go, or somebody else's comes, nothing is known of who leads.
      leaderLabel = null;
      leaderRevision = -1;
    }
    loop.after(RETRY_MICROS, this::reread);
  }

  @Override
  public void close() {
    loop.execute(
        () -> {
          withdraw(current, "shutting down", 3_600_000_000L);
          scope.close();
        });
  }
}
