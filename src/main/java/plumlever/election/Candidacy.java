package plumlever.election;

import java.util.Optional;
import java.util.OptionalLong;
import plumlever.concurrent.EventLoop;
import plumlever.concurrent.RecurringTask;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Decides when this controller attempts to become leader, and handles the outcome of each attempt.
 * Makes at most one attempt at a time. Used on the election loop only.
 */
final class Candidacy implements AutoCloseable {
  /**
   * Returned by the recurring task of election attempts: it runs again only when an attempt is
   * scheduled.
   */
  private static final long UNTIL_SCHEDULED = -1;

  /** The pause between a lost election and the read of the new leader's record. */
  private static final long PAUSE_AFTER_LOSS_MICROS = 50_000;

  /**
   * If the election transaction had no response, the leader key is read to learn the outcome. A
   * failed read of it is repeated at most this many times.
   */
  private static final int MAX_RETRIES = 3;

  /** Notified on the election loop of the outcome of this controller's election attempts. */
  interface Observer {
    /** Returns true while this controller leads; no attempt is made then. */
    boolean leading();

    /**
     * Called when this controller was elected.
     *
     * @param sentMicros the send time of the request that created the lease of the term
     */
    void electionWon(Term term, long sentMicros);

    /**
     * Called after a failed election attempt and a pause, when the record of the new leader can be
     * read.
     */
    void electionLost();
  }

  private final Candidate candidate;
  private final EventLoop loop;
  private final StateClient store;
  private final SchedulerParameters parameters;
  private final LeadershipRecords records;
  private final ElectionBackoff backoff;

  /** Assigns the terms of this controller's shard; empty if the shard belongs to no pool. */
  private final Optional<PoolTerms> poolTerms;

  private final Observer observer;
  private final RecurringTask task;
  private boolean attemptInProgress;
  private long notBeforeMicros;

  Candidacy(
      Candidate candidate,
      ElectionContext context,
      ElectionBackoff backoff,
      Optional<PoolTerms> poolTerms,
      Observer observer) {
    this.candidate = candidate;
    this.loop = context.loop();
    this.store = context.store();
    this.parameters = context.parameters();
    this.records = context.records();
    this.backoff = backoff;
    this.poolTerms = poolTerms;
    this.observer = observer;
    this.task = new RecurringTask("election attempt", loop, this::attemptElection);
  }

  /** Returns true while an election attempt of this controller is in progress. */
  boolean attemptInProgress() {
    return attemptInProgress;
  }

  /** Ensures that this controller makes no election attempt before this pause has passed. */
  void pause(long pauseMicros) {
    notBeforeMicros = loop.nowMicros() + pauseMicros;
  }

  /**
   * Schedules an election attempt after a short random pause; the attempt is made only if
   * leadership is still vacant then.
   */
  void scheduleAttempt() {
    task.scheduleAfter(backoff.beforeAttemptMicros());
  }

  /**
   * Schedules an election attempt after a longer random pause, because a request to the state
   * service had no response.
   */
  void scheduleRetry() {
    task.scheduleAfter(backoff.beforeRetryMicros());
  }

  private long attemptElection() {
    if (observer.leading()
        || attemptInProgress
        || !records.complete()
        || records.ineligible()
        || !records.leadershipVacant()) {
      return UNTIL_SCHEDULED;
    }
    long now = loop.nowMicros();
    if (now < notBeforeMicros) {
      return notBeforeMicros - now;
    }
    attemptInProgress = true;
    // The revisions of the leader and term keys are saved now, as preconditions of the election
    // transaction. Revisions taken after the lease was created could include another leader elected
    // in the meantime, and the transaction would then depose that leader.
    LeadershipRecords.Revisions seen = records.revisions();
    if (poolTerms.isEmpty()) {
      new Attempt(seen, new PoolTerms.NextTerm(records.term() + 1, 0), now).createLease();
    } else {
      poolTerms.get().findNext(records.term(), next -> attemptInPool(seen, next));
    }
    return UNTIL_SCHEDULED;
  }

  private void attemptInPool(LeadershipRecords.Revisions seen, Optional<PoolTerms.NextTerm> next) {
    if (next.isPresent()) {
      new Attempt(seen, next.get(), loop.nowMicros()).createLease();
    } else {
      attemptInProgress = false;
      scheduleRetry();
    }
  }

  /** One attempt to be elected. */
  private final class Attempt {
    private final LeadershipRecords.Revisions seen;
    private final PoolTerms.NextTerm next;
    private final LeaderRecord record;

    /**
     * The send time of the request that creates the leader's lease. If elected, the leader may act
     * for a limited time counted from then.
     */
    private final long sentMicros;

    Attempt(LeadershipRecords.Revisions seen, PoolTerms.NextTerm next, long sentMicros) {
      this.seen = seen;
      this.next = next;
      this.record = new LeaderRecord(candidate, next.term());
      this.sentMicros = sentMicros;
    }

    void createLease() {
      store.createLease(parameters.leaseTtlMicros(), this::leaseCreated);
    }

    private void leaseCreated(OptionalLong leaseId) {
      if (leaseId.isPresent()) {
        putLeaderRecord(leaseId.getAsLong());
      } else {
        attemptInProgress = false;
        scheduleRetry();
      }
    }

    private void putLeaderRecord(long leaseId) {
      store.transaction(
          transaction(leaseId),
          StateClient.RequestPriority.URGENT,
          result -> {
            switch (result.outcome()) {
              case APPLIED -> won(leaseId, result.revision());
              case UNKNOWN -> resolveOutcome(leaseId, MAX_RETRIES);
              case CONFLICT, REFUSED -> lost(leaseId);
            }
          });
    }

    private Transaction transaction(long leaseId) {
      Transaction transaction =
          new Transaction()
              .require(LeaderElection.LEADER, seen.leader())
              .require(LeaderElection.TERM, seen.term())
              .put(LeaderElection.LEADER, record.write(), leaseId)
              .put(LeaderElection.TERM, new TermRecord(next.term()).write());
      return poolTerms.isPresent()
          ? poolTerms.get().addToElection(transaction, next, candidate.label(), leaseId)
          : transaction.delete(LeaderElection.DELEGATION);
    }

    /**
     * Reads the leader key to find out whether the election transaction, which had no response, was
     * applied. If the key cannot be read, abandons the attempt by revoking its lease.
     */
    private void resolveOutcome(long leaseId, int retries) {
      store.get(
          LeaderElection.LEADER,
          StateClient.RequestPriority.URGENT,
          result -> {
            if (result.found() && LeaderRecord.read(result.item().data()).equals(record)) {
              // The election transaction puts both the leader key and the term key, so the revision
              // of the leader key is also that of the term key.
              won(leaseId, result.item().revision());
            } else if (result.found() || result.missing() || retries == 0) {
              lost(leaseId);
            } else {
              loop.after(ElectionBackoff.RETRY_MICROS, () -> resolveOutcome(leaseId, retries - 1));
            }
          });
    }

    private void won(long leaseId, long revision) {
      attemptInProgress = false;
      backoff.electionWon();
      observer.electionWon(new Term(loop, next.term(), revision, leaseId), sentMicros);
    }

    private void lost(long leaseId) {
      // Revoking the lease makes the election transaction fail if it is executed late, and deletes
      // the leader key if the transaction was applied.
      store.revokeLease(leaseId);
      attemptInProgress = false;
      backoff.electionLost();
      loop.after(PAUSE_AFTER_LOSS_MICROS, observer::electionLost);
    }
  }

  @Override
  public void close() {
    task.close();
  }
}
