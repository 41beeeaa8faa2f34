package plumlever.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.EventLoop;
import plumlever.metrics.Metrics;
import plumlever.wire.JobState;

/**
 * Looks up the state of jobs in the records in the state service. Final states are served from
 * memory, because they never change. Every other result is based on a read that started after the
 * lookup was requested; only {@link #findEnded} also uses reads that are a few seconds old.
 *
 * <p>Most lookups concern active jobs whose record revision is already known. These lookups are
 * batched: a single transaction that contains only preconditions checks for all of them whether any
 * record has changed.
 */
public final class JobRecordCache {
  /** The existence of a job according to the state service. */
  public enum Presence {
    /** The job has been accepted and has not ended. */
    ACTIVE,
    /** The job is in a final state. */
    ENDED,
    /** The job was never accepted. */
    MISSING,
    /** The state service refused a read or did not respond; the state of the job is unknown. */
    UNAVAILABLE
  }

  /**
   * The state of a job as read from the state service.
   *
   * @param revision the revision of the record of an active job, otherwise 0
   * @param finalState the final state if the job has ended
   */
  public record JobStatus(Presence presence, long revision, Optional<JobState> finalState) {
    static final JobStatus MISSING = new JobStatus(Presence.MISSING, 0, Optional.empty());
    static final JobStatus UNAVAILABLE = new JobStatus(Presence.UNAVAILABLE, 0, Optional.empty());

    static JobStatus active(long revision) {
      return new JobStatus(Presence.ACTIVE, revision, Optional.empty());
    }

    static JobStatus ended(JobState finalState) {
      return new JobStatus(Presence.ENDED, 0, Optional.of(finalState));
    }

    /** Returns true if the job has been accepted, whether or not it has ended. */
    public boolean found() {
      return presence == Presence.ACTIVE || presence == Presence.ENDED;
    }
  }

  /**
   * The result of {@link #findEnded}: those of the requested jobs that have ended or were never
   * accepted.
   *
   * @param oldestReadMicros the start time of the oldest read that the result is based on; a
   *     requested job that is not in {@code uids} was active at that time or later
   */
  public record EndedJobs(Set<String> uids, long oldestReadMicros) {}

  /** A lookup of a job whose active record has a known revision. */
  private record Lookup(String uid, long revision, int attemptsLeft, Consumer<JobStatus> handler) {
    String key() {
      return RecordKeys.active(uid);
    }
  }

  /**
   * The state service accepts this many times as many preconditions as operations in a transaction.
   */
  private static final int PRECONDITIONS_PER_OPERATION = 4;

  /**
   * The time for which {@link #findEnded} assumes that a job is still active, counted from the
   * start of the last lookup that found the job active.
   */
  private static final long ACTIVE_VALID_MICROS = 3_000_000;

  private static final Logger LOG = LoggerFactory.getLogger(JobRecordCache.class);

  private final EventLoop loop;
  private final StateClient store;
  private final Metrics metrics;
  private final RecordLayout recordLayout;
  private final JobFinder finder;
  private final RateLimitRetry retry;
  private final JobStateCache jobStates = new JobStateCache();
  private final DependencyRecordCache dependencyRecords;
  private final LookupBatch<Lookup> pendingLookups;

  /** For each job that {@link #findEnded} found active, the time at which that search started. */
  private final Map<String, Long> activeReadMicros = new HashMap<>();

  /** Creates an empty cache that reads through the given client. */
  public JobRecordCache(
      EventLoop loop, StateClient store, RecordLayout recordLayout, Metrics metrics) {
    this.loop = loop;
    this.store = store;
    this.metrics = metrics;
    this.recordLayout = recordLayout;
    this.finder = new JobFinder(loop, store);
    this.retry = new RateLimitRetry(loop);
    this.dependencyRecords = new DependencyRecordCache(loop, store, finder, jobStates);
    this.pendingLookups =
        new LookupBatch<>(
            loop,
            () -> PRECONDITIONS_PER_OPERATION * recordLayout.limits().maxOperations(),
            this::checkRevisions);
  }

  /** Records that the job was accepted and that its active record has this revision. */
  public void jobAccepted(String uid, long revision) {
    if (revision > 0) {
      jobStates.recordActive(uid, revision);
    }
  }

  /**
   * Records that a job with dependencies was accepted and that its active record has this revision,
   * then determines the state of the job.
   *
   * @param handler receives the state of the job that follows from the states of its dependencies
   */
  public void dependentJobAccepted(
      String uid, long revision, List<String> dependencies, Consumer<JobStatus> handler) {
    dependencyRecords.jobAccepted(uid, revision, dependencies);
    resolveDependencies(uid, revision, handler);
  }

  /** Records that the final state of the job has been stored. */
  public void jobEnded(String uid, JobState finalState) {
    jobStates.recordEnd(uid, finalState);
    dependencyRecords.jobEnded(uid, finalState);
  }

  /**
   * Finds the jobs among {@code uids} that were never accepted. Jobs about which nothing is cached
   * are read from the state service now.
   *
   * @param handler receives an empty value if the state service could not be read
   */
  public void findNeverAccepted(Collection<String> uids, Consumer<Optional<Set<String>>> handler) {
    Set<String> unknown = new HashSet<>();
    for (String uid : uids) {
      if (jobStates.activeRevision(uid).isEmpty() && jobStates.finalState(uid).isEmpty()) {
        unknown.add(uid);
      }
    }
    if (unknown.isEmpty()) {
      handler.accept(Optional.of(Set.of()));
      return;
    }
    finder.find(unknown, found -> handler.accept(found.map(this::neverAccepted)));
  }

  private Set<String> neverAccepted(Map<String, JobFinder.Found> found) {
    Set<String> neverAccepted = new HashSet<>();
    found.forEach(
        (uid, job) -> {
          if (!job.accepted()) {
            neverAccepted.add(uid);
          }
          job.finalState().ifPresent(finalState -> jobEnded(uid, finalState));
        });
    return neverAccepted;
  }

  /** Returns the final state of the job if it is cached; sends no request. */
  public Optional<JobState> cachedFinalState(String uid) {
    return jobStates.finalState(uid);
  }

  /**
   * Finds the jobs among {@code uids} that have ended or were never accepted. Some jobs may be
   * assumed active from a read that is up to a few seconds old; {@link EndedJobs#oldestReadMicros}
   * is the start time of the oldest read used.
   *
   * @param handler receives an empty value if the state of any of the jobs could not be read
   */
  public void findEnded(Collection<String> uids, Consumer<Optional<EndedJobs>> handler) {
    long now = loop.nowMicros();
    activeReadMicros.values().removeIf(readMicros -> now - readMicros > ACTIVE_VALID_MICROS);
    EndedSearch search = new EndedSearch(now, handler);
    for (String uid : uids) {
      Long readMicros = activeReadMicros.get(uid);
      if (readMicros != null) {
        search.activeAsOf(readMicros);
      } else {
        search.lookUp(uid);
      }
    }
    search.allRequested();
  }

  /** The state of one call of {@link #findEnded}, which looks up several jobs. */
  private final class EndedSearch {
    private final long startedMicros;
    private final Consumer<Optional<EndedJobs>> handler;
    private final Set<String> ended = new HashSet<>();

    /**
     * The number of outstanding job lookups. It also counts one for the caller until the caller has
     * requested all lookups, so that the search cannot complete before.
     */
    private int pending = 1;

    private boolean failed;
    private long oldestReadMicros;

    EndedSearch(long startedMicros, Consumer<Optional<EndedJobs>> handler) {
      this.startedMicros = startedMicros;
      this.handler = handler;
      this.oldestReadMicros = startedMicros;
    }

    void activeAsOf(long readMicros) {
      oldestReadMicros = Math.min(oldestReadMicros, readMicros);
    }

    void lookUp(String uid) {
      pending++;
      JobRecordCache.this.lookUp(
          uid,
          status -> {
            switch (status.presence()) {
              case ACTIVE -> activeReadMicros.put(uid, startedMicros);
              case UNAVAILABLE -> failed = true;
              case ENDED, MISSING -> ended.add(uid);
            }
            lookupCompleted();
          });
    }

    void allRequested() {
      lookupCompleted();
    }

    private void lookupCompleted() {
      pending--;
      if (pending == 0) {
        handler.accept(
            failed ? Optional.empty() : Optional.of(new EndedJobs(ended, oldestReadMicros)));
      }
    }
  }

  /**
   * Looks up the state of the job. The handler is called on the loop, possibly before this method
   * returns.
   */
  public void lookUp(String uid, Consumer<JobStatus> handler) {
    lookUp(uid, RateLimitRetry.MAX_ATTEMPTS, handler);
  }

  private void lookUp(String uid, int attemptsLeft, Consumer<JobStatus> handler) {
    Optional<JobState> finalState = jobStates.finalState(uid);
    if (finalState.isPresent()) {
      handler.accept(JobStatus.ended(finalState.get()));
      return;
    }
    OptionalLong revision = jobStates.activeRevision(uid);
    if (revision.isPresent()) {
      pendingLookups.add(new Lookup(uid, revision.getAsLong(), attemptsLeft, handler));
      return;
    }
    // The record of a job with dependencies does not change until the job ends. A job that is
    // already in the dependency graph is therefore not read again; one request for ended jobs
    // covers all of them.
    long dependentRevision = dependencyRecords.revision(uid);
    if (dependentRevision > 0) {
      resolveDependencies(uid, dependentRevision, handler);
    } else {
      readActive(uid, attemptsLeft, handler);
    }
  }

  /**
   * Checks with a single transaction whether the active record of any job in the batch has changed.
   */
  private void checkRevisions(List<Lookup> batch) {
    Transaction transaction = new Transaction();
    Set<String> keys = new HashSet<>();
    for (Lookup lookup : batch) {
      if (keys.add(lookup.key())) {
        transaction.require(lookup.key(), lookup.revision());
      }
    }
    metrics.count("reads_coalesced", batch.size());
    store.transaction(
        transaction,
        StateClient.RequestPriority.ORDINARY,
        result -> {
          switch (result.outcome()) {
            case APPLIED ->
                batch.forEach(
                    lookup -> lookup.handler().accept(JobStatus.active(lookup.revision())));
            case CONFLICT -> {
              Set<String> changed = new HashSet<>(result.failedKeys());
              batch.forEach(lookup -> recordsChanged(lookup, changed));
            }
            case REFUSED, UNKNOWN ->
                batch.forEach(lookup -> revisionCheckFailed(lookup, result.status()));
          }
        });
  }

  /**
   * Repeats one lookup of a batch after the state service reported that active records of jobs in
   * the batch have changed.
   *
   * @param changed the keys of changed records. The state service does not guarantee that the list
   *     is complete, so the lookups of all other records are repeated once.
   */
  private void recordsChanged(Lookup lookup, Set<String> changed) {
    if (changed.isEmpty() || changed.contains(lookup.key()) || lookup.attemptsLeft() <= 1) {
      jobStates.evictActive(lookup.uid());
      readActive(lookup.uid(), RateLimitRetry.MAX_ATTEMPTS, lookup.handler());
    } else {
      lookUp(lookup.uid(), lookup.attemptsLeft() - 1, lookup.handler());
    }
  }

  private void revisionCheckFailed(Lookup lookup, int status) {
    retry.retryOrFail(
        status,
        lookup.attemptsLeft(),
        () -> lookUp(lookup.uid(), lookup.attemptsLeft() - 1, lookup.handler()),
        () -> lookup.handler().accept(JobStatus.UNAVAILABLE));
  }

  /**
   * Reads the active record of the job first, then its ended record. One transaction deletes the
   * active record and puts the ended record, so a job with neither record had not been accepted
   * when the first read started.
   */
  private void readActive(String uid, int attemptsLeft, Consumer<JobStatus> handler) {
    store.get(
        RecordKeys.active(uid),
        StateClient.RequestPriority.ORDINARY,
        result -> {
          if (result.found() && ActiveRecord.hasDependencies(result.item().data())) {
            resolveDependencies(uid, result.item().revision(), handler);
          } else if (result.found()) {
            jobStates.recordActive(uid, result.item().revision());
            handler.accept(JobStatus.active(result.item().revision()));
          } else if (result.missing()) {
            readEnded(uid, attemptsLeft, handler);
          } else {
            retry.retryOrFail(
                result.status(),
                attemptsLeft,
                () -> readActive(uid, attemptsLeft - 1, handler),
                () -> handler.accept(JobStatus.UNAVAILABLE));
          }
        });
  }

  private void readEnded(String uid, int attemptsLeft, Consumer<JobStatus> handler) {
    Optional<JobState> known = jobStates.finalState(uid);
    if (known.isPresent()) {
      handler.accept(JobStatus.ended(known.get()));
      return;
    }
    store.get(
        RecordKeys.ended(uid),
        StateClient.RequestPriority.ORDINARY,
        result -> {
          Optional<JobState> finalState =
              result.found() ? EndedRecord.finalState(result.item().data()) : Optional.empty();
          if (finalState.isPresent()) {
            jobEnded(uid, finalState.get());
            handler.accept(JobStatus.ended(finalState.get()));
          } else if (result.missing()) {
            handler.accept(JobStatus.MISSING);
          } else {
            retry.retryOrFail(
                result.status(),
                attemptsLeft,
                () -> readEnded(uid, attemptsLeft - 1, handler),
                () -> handler.accept(JobStatus.UNAVAILABLE));
          }
        });
  }

  /**
   * Determines the state of a job that has, or had, dependencies. Whether such a job is cancelled
   * depends on the final states of its dependencies.
   */
  private void resolveDependencies(String uid, long revision, Consumer<JobStatus> handler) {
    dependencyRecords.lookUp(
        uid,
        resolution -> {
          switch (resolution) {
            case WAITING -> handler.accept(JobStatus.active(revision));
            case RELEASED -> {
              // All dependencies of the job are done and cannot be cancelled any more, so from now
              // on the job is handled like a job without dependencies.
              jobStates.recordActive(uid, revision);
              handler.accept(JobStatus.active(revision));
            }
            case CANCELLED -> cancelWithDependency(uid, revision, handler);
            case ENDED -> readEnded(uid, RateLimitRetry.MAX_ATTEMPTS, handler);
            case UNAVAILABLE -> handler.accept(JobStatus.UNAVAILABLE);
          }
        });
  }

  /**
   * Ends the job as cancelled because a dependency was cancelled. As for every final state, the
   * record is stored before the handler learns the state.
   */
  private void cancelWithDependency(String uid, long revision, Consumer<JobStatus> handler) {
    String dependency = dependencyRecords.failedDependencyOf(uid).orElse("unknown");
    store.transaction(
        recordLayout.endJob(uid, revision, JobState.CANCELLED, loop.wallMicros(), List.of()),
        StateClient.RequestPriority.URGENT,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> {
              LOG.info(
                  "job {} is cancelled because its dependency {} was cancelled", uid, dependency);
              metrics.count("jobs_cancelled_with_dependency");
              jobEnded(uid, JobState.CANCELLED);
              handler.accept(JobStatus.ended(JobState.CANCELLED));
            }
            case REFUSED -> handler.accept(JobStatus.UNAVAILABLE);
            // Either another controller has stored the final state, or this transaction was applied
            // and its response lost. Reading the record shows which state was stored.
            case CONFLICT, UNKNOWN ->
                readEnded(
                    uid,
                    RateLimitRetry.MAX_ATTEMPTS,
                    status ->
                        handler.accept(
                            status.presence() == Presence.ENDED ? status : JobStatus.UNAVAILABLE));
          }
        });
  }
}
