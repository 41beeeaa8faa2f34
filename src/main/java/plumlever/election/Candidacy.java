package plumlever.election;

import java.util.Optional;
import java.util.OptionalLong;
import plumlever.concurrent.Loop;
import plumlever.concurrent.RecurringTask;
import plumlever.settings.SchedulerParameters;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * When this controller stands for election, and what becomes of each attempt. There is one attempt
 * at a time. Runs on the election's loop only.
 */
final class Candidacy implements AutoCloseable {
  /** The pause of a recurring task that waits to be woken. */
  private static final long UNTIL_WOKEN = -1;

  /** Before it is read who has won instead. */
  private static final long AFTER_LOSS_MICROS = 50_000;

  /** How often an election without an answer is asked about after the first time. */
  private static final int MAX_RETRIES = 3;

  /** Told on the election's loop how attempts end. */
  interface Observer {
    /** True while this controller leads, so that it has nothing to stand for. */
    boolean leading();

    /**
     * An attempt has succeeded.
     *
     * @param sentMicros when the request for the term's lease had been sent
     */
    void won(Term term, long sentMicros);

    /** An attempt has failed, and time enough has passed to read who has won. */
    void lost();
  }

  private final Candidate candidate;
  private final Loop loop;
  private final StateClient store;
  private final SchedulerParameters parameters;
  private final LeadershipRecords records;
  private final ElectionBackoff backoff;

  /** Where terms come from if this is one shard of a pool. */
  private final Optional<PoolTerms> poolTerms;

  private final Observer observer;
  private final RecurringTask task;
  private boolean standing;
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
    this.task = new RecurringTask("candidacy", loop, this::stand);
  }

  /** True while an attempt is under way. */
  boolean standing() {
    return standing;
  }

  /** Stands no sooner than after this pause. */
  void pause(long pauseMicros) {
    notBeforeMicros = loop.nowMicros() + pauseMicros;
  }

  /** Leadership is free: stands shortly, if it still is then. */
  void standSoon() {
    task.runAfter(backoff.beforeCandidacyMicros());
  }

  /** A request had no answer: stands later, if leadership is free then. */
  void standLater() {
    task.runAfter(backoff.beforeRetryMicros());
  }

  private long stand() {
    if (observer.leading()
        || standing
        || !records.complete()
        || records.ineligible()
        || !records.leadershipFree()) {
      return UNTIL_WOKEN;
    }
    long now = loop.nowMicros();
    if (now < notBeforeMicros) {
      return notBeforeMicros - now;
    }
    standing = true;
    // The preconditions are what this decision was taken on: watch events go on arriving while the
    // lease is made, and a precondition on the newest revision would depose a leader elected in
    // between.
    LeadershipRecords.Revisions seen = records.revisions();
    if (poolTerms.isEmpty()) {
      new Attempt(seen, new PoolTerms.Next(records.term() + 1, 0), now).createLease();
    } else {
      poolTerms.get().findNext(records.term(), next -> standInPool(seen, next));
    }
    return UNTIL_WOKEN;
  }

  private void standInPool(LeadershipRecords.Revisions seen, Optional<PoolTerms.Next> next) {
    if (next.isPresent()) {
      new Attempt(seen, next.get(), loop.nowMicros()).createLease();
    } else {
      standing = false;
      standLater();
    }
  }

  /** One attempt to be elected. */
  private final class Attempt {
    private final LeadershipRecords.Revisions seen;
    private final PoolTerms.Next next;
    private final LeaderRecord record;

    /** When the first request was sent, from which the right to act is counted. */
    private final long sentMicros;

    Attempt(LeadershipRecords.Revisions seen, PoolTerms.Next next, long sentMicros) {
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
        takeTerm(leaseId.getAsLong());
      } else {
        standing = false;
        standLater();
      }
    }

    private void takeTerm(long leaseId) {
      store.transaction(
          transaction(leaseId),
          StateClient.RequestPriority.URGENT,
          result -> {
            switch (result.outcome()) {
              case APPLIED -> won(leaseId, result.revision());
              case UNKNOWN -> resolve(leaseId, MAX_RETRIES);
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
          ? poolTerms.get().addTo(transaction, next, candidate.label(), leaseId)
          : transaction.delete(LeaderElection.DELEGATION);
    }

    /** An uncertain answer is resolved by reading, never by assuming. */
    private void resolve(long leaseId, int retries) {
      store.get(
          LeaderElection.LEADER,
          StateClient.RequestPriority.URGENT,
          result -> {
            if (result.found() && LeaderRecord.read(result.item().data()).equals(record)) {
              // Both keys were put in one change and so have the same revision.
              won(leaseId, result.item().revision());
            } else if (result.found() || result.missing() || retries == 0) {
              lost(leaseId);
            } else {
              loop.after(ElectionBackoff.RETRY_MICROS, () -> resolve(leaseId, retries - 1));
            }
          });
    }

    private void won(long leaseId, long revision) {
      standing = false;
      backoff.electionWon();
      observer.won(new Term(loop, next.term(), revision, leaseId), sentMicros);
    }

    private void lost(long leaseId) {
      // Ending the lease makes a late execution of the transaction fail.
      store.revokeLease(leaseId);
      standing = false;
      backoff.electionLost();
      loop.after(AFTER_LOSS_MICROS, observer::lost);
    }
  }

  @Override
  public void close() {
    task.close();
  }
}
