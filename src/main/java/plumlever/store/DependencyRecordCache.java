package plumlever.store;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import plumlever.concurrent.Loop;
import plumlever.fleet.DependencyGraph;
import plumlever.wire.JobState;

/**
 * Caches the records of jobs that have dependencies. The record of a job does not change until the
 * job ends, so each record is read once, together with its direct and transitive dependencies.
 *
 * <p>After that, a single request for the jobs that ended since the previous request answers all
 * pending lookups. That request is sent after the lookups were requested. The results depend
 * neither on which controller leads nor on whether the leader's version supports dependencies.
 */
final class DependencyRecordCache {
  /** The state of a job as derived from the records; at least as recent as the lookup. */
  enum Answer {
    WAITING,
    RELEASED,
    CANCELLED,
    ENDED,
    UNAVAILABLE
  }

  private record Question(String uid, int attemptsLeft, Consumer<Answer> handler) {}

  /** When the graph has more jobs than this, it is discarded; jobs are read again on demand. */
  private static final int MAX_JOBS = 50_000;

  /** Value of {@link #storeRevision} before the first read. */
  private static final long UNKNOWN = -1;

  private final StateClient store;
  private final JobFinder finder;
  private final KnownJobs knownJobs;
  private final RateLimitRetry retry;
  private final QuestionBatch<Question> questions;

  private DependencyGraph graph = new DependencyGraph();

  /** Jobs that are in the graph together with all direct and transitive dependencies. */
  private Set<String> complete = new HashSet<>();

  /** The graph contains all ends of jobs up to this revision. */
  private long storeRevision = UNKNOWN;

  /**
   * @param knownJobs receives the final state of each ended job that is read
   */
  DependencyRecordCache(Loop loop, StateClient store, JobFinder finder, KnownJobs knownJobs) {
    this.store = store;
    this.finder = finder;
    this.knownJobs = knownJobs;
    this.retry = new RateLimitRetry(loop);
    this.questions = new QuestionBatch<>(loop, () -> Integer.MAX_VALUE, this::answerAll);
  }

  /** Returns the dependency whose cancellation cancelled this job, if there is one. */
  Optional<String> failedDependencyOf(String uid) {
    return graph.failedDependencyOf(uid);
  }

  /**
   * Returns the revision of the record if the graph holds the job and all of its dependencies,
   * otherwise 0.
   */
  long revision(String uid) {
    return complete.contains(uid) ? graph.revision(uid) : 0;
  }

  /** Adds a job that this controller has just accepted, so that its record need not be read. */
  void jobAccepted(String uid, long revision, List<String> dependencies) {
    if (storeRevision >= 0) {
      graph.addJob(uid, revision, dependencies);
      discardNews();
    }
  }

  /** Records the end of a job that this controller learned of from another source. */
  void jobEnded(String uid, JobState finalState) {
    addEnd(uid, finalState, 0);
    discardNews();
  }

  private void addEnd(String uid, JobState finalState, long endedWallMicros) {
    graph.recordEnd(uid, finalState, endedWallMicros);
    complete.remove(uid);
  }

  /**
   * Discards the lists of released and cancelled jobs. Only a leader acts on them; this cache only
   * looks up single jobs.
   */
  private void discardNews() {
    graph.drainReleased();
    graph.drainCancelled();
  }

  /** Determines the state of a job that has, or had, dependencies. */
  void ask(String uid, Consumer<Answer> handler) {
    questions.add(new Question(uid, RateLimitRetry.MAX_ATTEMPTS, handler));
  }

  private void answerAll(List<Question> asked) {
    if (graph.size() > MAX_JOBS) {
      reset();
    }
    if (storeRevision >= 0) {
      readMissing(asked);
      return;
    }
    // The revision at which observation starts. Jobs that end after this revision are reported by
    // the watch; for jobs that ended before, the ended records are read.
    store.storeRevision(
        now -> {
          if (now.isEmpty()) {
            failAll(asked);
          } else {
            storeRevision = storeRevision < 0 ? now.getAsLong() : storeRevision;
            readMissing(asked);
          }
        });
  }

  /**
   * Reads the requested jobs and their dependencies that are not in the graph yet, then the new
   * ends.
   */
  private void readMissing(List<Question> asked) {
    Set<String> incomplete = new LinkedHashSet<>();
    for (Question question : asked) {
      if (!complete.contains(question.uid())) {
        incomplete.add(question.uid());
      }
    }
    DependencyGraph readInto = graph;
    new DependencyReader(
            store,
            finder,
            knownJobs,
            readInto,
            uid -> complete.contains(uid),
            allRead -> {
              if (!allRead || readInto != graph) {
                failAll(asked);
                return;
              }
              complete.addAll(incomplete);
              readNewEnds(asked);
            })
        .read(incomplete);
  }

  /** Requests all ends of jobs since the previous request, then completes the lookups. */
  private void readNewEnds(List<Question> asked) {
    DependencyGraph readInto = graph;
    store.watch(
        RecordKeys.ENDED,
        storeRevision,
        0,
        changes -> {
          if (readInto != graph) {
            failAll(asked);
          } else if (changes.expired()) {
            reset();
            asked.forEach(
                question ->
                    retry.retryOr(
                        question.attemptsLeft(), () -> askAgain(question), () -> fail(question)));
          } else if (!changes.answered()) {
            asked.forEach(
                question ->
                    retry.retryOr(
                        changes.status(),
                        question.attemptsLeft(),
                        () -> askAgain(question),
                        () -> fail(question)));
          } else {
            addEnds(changes);
            asked.forEach(question -> question.handler().accept(answerTo(question)));
          }
        });
  }

  private void addEnds(StateClient.WatchResponse changes) {
    for (StateClient.KeyEvent change : changes.events()) {
      Optional<JobState> finalState =
          change.deleted() ? Optional.empty() : EndedRecord.finalState(change.data());
      if (finalState.isPresent()) {
        String uid = RecordKeys.uidOfEnded(change.key());
        // Ends of jobs that are not in the graph are recorded too: a pending read may have fetched
        // the active record before the job ended and may add that job to the graph later.
        knownJobs.jobEnded(uid, finalState.get());
        addEnd(uid, finalState.get(), EndedRecord.endedWallMicros(change.data()));
      }
    }
    storeRevision = Math.max(storeRevision, changes.storeRevision());
    discardNews();
  }

  private Answer answerTo(Question question) {
    if (knownJobs.finalState(question.uid()).isPresent()) {
      return Answer.ENDED;
    }
    return switch (graph.stateOf(question.uid())) {
      case WAITING -> Answer.WAITING;
      case RELEASED -> Answer.RELEASED;
      case CANCELLED -> Answer.CANCELLED;
      case DONE -> Answer.ENDED;
      case UNKNOWN -> Answer.UNAVAILABLE;
    };
  }

  private void askAgain(Question question) {
    questions.add(new Question(question.uid(), question.attemptsLeft() - 1, question.handler()));
  }

  private static void fail(Question question) {
    question.handler().accept(Answer.UNAVAILABLE);
  }

  private static void failAll(List<Question> asked) {
    asked.forEach(DependencyRecordCache::fail);
  }

  private void reset() {
    graph = new DependencyGraph();
    complete = new HashSet<>();
    storeRevision = UNKNOWN;
  }
}
