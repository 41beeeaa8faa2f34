package plumlever.store;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import plumlever.concurrent.EventLoop;
import plumlever.fleet.DependencyGraph;
import plumlever.wire.JobState;

/**
 * Caches the records of jobs that have dependencies. The record of a job does not change until the
 * job ends, so each record is read once, together with its direct and transitive dependencies.
 *
 * <p>Later lookups are collected and answered by a single request for the jobs that ended since the
 * previous such request. The cache uses only stored records, so it works whichever controller
 * leads, even if the leader's version does not support dependencies.
 */
final class DependencyRecordCache {
  /**
   * The state of a job with dependencies, derived from stored records that are at least as recent
   * as the lookup.
   */
  enum Resolution {
    /** The job waits for at least one dependency that has not ended, as far as the records show. */
    WAITING,
    /** All dependencies of the job are done, so it can be scheduled. */
    RELEASED,
    /**
     * The job or one of its dependencies was cancelled; the final state of the job may not be
     * stored yet.
     */
    CANCELLED,
    /** The job is in a final state. */
    ENDED,
    /** The records of the job or of its dependencies could not be read. */
    UNAVAILABLE
  }

  private record Lookup(String uid, int attemptsLeft, Consumer<Resolution> handler) {}

  /**
   * The maximum number of jobs in the dependency graph, to limit memory. A larger graph is
   * discarded, and job records are read again on demand.
   */
  private static final int MAX_JOBS = 50_000;

  /**
   * Value of {@link #storeRevision} while the dependency graph is new and no revision has been
   * read.
   */
  private static final long UNKNOWN_REVISION = -1;

  private final StateClient store;
  private final JobFinder finder;
  private final JobStateCache jobStates;
  private final RateLimitRetry retry;
  private final LookupBatch<Lookup> pendingLookups;

  private DependencyGraph graph = new DependencyGraph();

  /**
   * Ids of the jobs that are in the dependency graph together with all of their direct and
   * transitive dependencies.
   */
  private Set<String> completeJobs = new HashSet<>();

  /**
   * The revision of the state service up to which all ended jobs have been recorded in the
   * dependency graph.
   */
  private long storeRevision = UNKNOWN_REVISION;

  /**
   * @param jobStates receives the final state of each ended job that is read
   */
  DependencyRecordCache(
      EventLoop loop, StateClient store, JobFinder finder, JobStateCache jobStates) {
    this.store = store;
    this.finder = finder;
    this.jobStates = jobStates;
    this.retry = new RateLimitRetry(loop);
    this.pendingLookups = new LookupBatch<>(loop, () -> Integer.MAX_VALUE, this::resolveAll);
  }

  /**
   * If this job was cancelled because one of its dependencies was cancelled, returns the id of that
   * dependency.
   */
  Optional<String> failedDependencyOf(String uid) {
    return graph.failedDependencyOf(uid);
  }

  /**
   * Returns the revision of the job's active record if the dependency graph holds the job and all
   * of its dependencies, otherwise 0.
   */
  long revision(String uid) {
    return completeJobs.contains(uid) ? graph.revision(uid) : 0;
  }

  /**
   * Adds a job with dependencies that this controller has just accepted, so that its record need
   * not be read.
   */
  void jobAccepted(String uid, long revision, List<String> dependencies) {
    if (storeRevision >= 0) {
      graph.addJob(uid, revision, dependencies);
      discardGraphEvents();
    }
  }

  /** Records the final state of a job that another component stored or read. */
  void jobEnded(String uid, JobState finalState) {
    addEndedJob(uid, finalState, 0);
    discardGraphEvents();
  }

  private void addEndedJob(String uid, JobState finalState, long endedWallMicros) {
    graph.recordEnd(uid, finalState, endedWallMicros);
    completeJobs.remove(uid);
  }

  /**
   * Clears the graph's lists of jobs that became ready or were cancelled since the last call, so
   * that they do not grow. Only a leader acts on these lists, and it uses a graph of its own.
   */
  private void discardGraphEvents() {
    graph.drainReleased();
    graph.drainCancelled();
  }

  /**
   * Queues a lookup of the state of a job that has, or had, dependencies; the handler receives the
   * result.
   */
  void lookUp(String uid, Consumer<Resolution> handler) {
    pendingLookups.add(new Lookup(uid, RateLimitRetry.MAX_ATTEMPTS, handler));
  }

  private void resolveAll(List<Lookup> batch) {
    if (graph.size() > MAX_JOBS) {
      reset();
    }
    if (storeRevision >= 0) {
      readMissing(batch);
      return;
    }
    // Later watch requests start from the revision that is read here and report the jobs that end
    // after it. For jobs that ended before it, the ended records are read.
    store.storeRevision(
        now -> {
          if (now.isEmpty()) {
            failAll(batch);
          } else {
            storeRevision = storeRevision < 0 ? now.getAsLong() : storeRevision;
            readMissing(batch);
          }
        });
  }

  /**
   * Reads the records of the looked-up jobs and of their dependencies unless they are in the graph
   * already, then requests the jobs that ended since the previous such request.
   */
  private void readMissing(List<Lookup> batch) {
    Set<String> incomplete = new LinkedHashSet<>();
    for (Lookup lookup : batch) {
      if (!completeJobs.contains(lookup.uid())) {
        incomplete.add(lookup.uid());
      }
    }
    DependencyGraph targetGraph = graph;
    new DependencyReader(
            store,
            finder,
            jobStates,
            targetGraph,
            uid -> completeJobs.contains(uid),
            allRead -> {
              if (!allRead || targetGraph != graph) {
                failAll(batch);
                return;
              }
              completeJobs.addAll(incomplete);
              readNewlyEndedJobs(batch);
            })
        .read(incomplete);
  }

  /**
   * Requests all jobs that have ended since the previous such request, then calls the handlers of
   * the lookups.
   */
  private void readNewlyEndedJobs(List<Lookup> batch) {
    DependencyGraph targetGraph = graph;
    store.watch(
        RecordKeys.ENDED,
        storeRevision,
        0,
        changes -> {
          if (targetGraph != graph) {
            failAll(batch);
          } else if (changes.expired()) {
            reset();
            batch.forEach(
                lookup ->
                    retry.retryOrFail(
                        lookup.attemptsLeft(), () -> requeue(lookup), () -> fail(lookup)));
          } else if (!changes.succeeded()) {
            batch.forEach(
                lookup ->
                    retry.retryOrFail(
                        changes.status(),
                        lookup.attemptsLeft(),
                        () -> requeue(lookup),
                        () -> fail(lookup)));
          } else {
            addEndedJobs(changes);
            batch.forEach(lookup -> lookup.handler().accept(resolutionOf(lookup)));
          }
        });
  }

  private void addEndedJobs(StateClient.WatchResponse changes) {
    for (StateClient.KeyEvent change : changes.events()) {
      Optional<JobState> finalState =
          change.deleted() ? Optional.empty() : EndedRecord.finalState(change.data());
      if (finalState.isPresent()) {
        String uid = RecordKeys.uidOfEnded(change.key());
        // Jobs that are not in the graph are recorded too: an outstanding read may have fetched the
        // active record before the job ended and may add that job to the graph later.
        jobStates.recordEnd(uid, finalState.get());
        addEndedJob(uid, finalState.get(), EndedRecord.endedWallMicros(change.data()));
      }
    }
    storeRevision = Math.max(storeRevision, changes.storeRevision());
    discardGraphEvents();
  }

  private Resolution resolutionOf(Lookup lookup) {
    if (jobStates.finalState(lookup.uid()).isPresent()) {
      return Resolution.ENDED;
    }
    return switch (graph.stateOf(lookup.uid())) {
      case WAITING -> Resolution.WAITING;
      case RELEASED -> Resolution.RELEASED;
      case CANCELLED -> Resolution.CANCELLED;
      case DONE -> Resolution.ENDED;
      case UNKNOWN -> Resolution.UNAVAILABLE;
    };
  }

  private void requeue(Lookup lookup) {
    pendingLookups.add(new Lookup(lookup.uid(), lookup.attemptsLeft() - 1, lookup.handler()));
  }

  private static void fail(Lookup lookup) {
    lookup.handler().accept(Resolution.UNAVAILABLE);
  }

  private static void failAll(List<Lookup> batch) {
    batch.forEach(DependencyRecordCache::fail);
  }

  private void reset() {
    graph = new DependencyGraph();
    completeJobs = new HashSet<>();
    storeRevision = UNKNOWN_REVISION;
  }
}
