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
 * What the state service says of jobs that depend on others. Their records never change until they
 * end, so they are read once, with those that they name, directly and through others; from then on
 * one question for what has ended since the last one, begun after the users asked, answers all of
 * them. Nothing depends on who leads, nor on a version's knowing of dependencies.
 */
final class DependencyRecordCache {
  /** What follows for a job from the records, as of a moment after it was asked about. */
  enum Answer {
    WAITING,
    RELEASED,
    CANCELLED,
    ENDED,
    UNAVAILABLE
  }

  private record Question(String uid, int attemptsLeft, Consumer<Answer> handler) {}

  /** Beyond this many the graph is begun anew; jobs are read again as they are asked about. */
  private static final int MAX_JOBS = 50_000;

  /** In place of the revision up to which ends are in the graph, before there is one. */
  private static final long UNKNOWN = -1;

  private final StateClient store;
  private final JobFinder finder;
  private final KnownJobs knownJobs;
  private final RateLimitRetry retry;
  private final QuestionBatch<Question> questions;

  private DependencyGraph graph = new DependencyGraph();

  /** Jobs that are in the graph with all that they depend on, directly or through others. */
  private Set<String> complete = new HashSet<>();

  /** Ends up to this revision are in the graph. */
  private long storeRevision = UNKNOWN;

  /**
   * @param knownJobs told of each end that is read
   */
  DependencyRecordCache(Loop loop, StateClient store, JobFinder finder, KnownJobs knownJobs) {
    this.store = store;
    this.finder = finder;
    this.knownJobs = knownJobs;
    this.retry = new RateLimitRetry(loop);
    this.questions = new QuestionBatch<>(loop, () -> Integer.MAX_VALUE, this::answerAll);
  }

  /** The dependency whose cancellation cancelled this job, if one did. */
  Optional<String> failedDependencyOf(String uid) {
    return graph.failedDependencyOf(uid);
  }

  /**
   * The revision of a job's record that is in the graph with all that it depends on; 0 for any
   * other.
   */
  long revision(String uid) {
    return complete.contains(uid) ? graph.revision(uid) : 0;
  }

  /** The job was accepted here a moment ago: its own record need not be read. */
  void jobAccepted(String uid, long revision, List<String> dependencies) {
    if (storeRevision >= 0) {
      graph.addJob(uid, revision, dependencies);
      discardNews();
    }
  }

  /** An end that this controller knows of. */
  void jobEnded(String uid, JobState finalState) {
    addEnd(uid, finalState, 0);
    discardNews();
  }

  private void addEnd(String uid, JobState finalState, long endedWallMicros) {
    graph.recordEnd(uid, finalState, endedWallMicros);
    complete.remove(uid);
  }

  /** The graph's news are for a leader, who acts on them; here jobs are asked about one by one. */
  private void discardNews() {
    graph.drainReleased();
    graph.drainCancelled();
  }

  /** Finds out what follows for a job that depends, or depended, on others. */
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
    // Where to begin: whatever ends after this revision is told by the watch, whatever did before
    // by the records.
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

  /** Reads what is missing of the dependency chains asked about, step by step away from them. */
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

  /** All that ended since the last question, as of now. */
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
        // Also of jobs that are not in the graph: one that was read before it ended may be on its
        // way into it.
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
