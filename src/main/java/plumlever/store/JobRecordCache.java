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
import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;
import plumlever.wire.JobState;

/**
 * What the state service says of jobs. Every answer but a final state rests on a read begun after
 * it was asked for. Most questions are about jobs that have not ended, whose record is known: these
 * are put together, and one transaction of preconditions only finds out for all of them whether
 * anything has changed.
 */
public final class JobRecordCache {
  /** What is known of a job. */
  public enum Presence {
    /** Accepted, and not ended. */
    ACTIVE,
    /** In a final state. */
    ENDED,
    /** Never accepted. */
    MISSING,
    /** That can't be found out now. */
    UNAVAILABLE
  }

  /**
   * What the state service says of a job.
   *
   * @param revision of the record of an active job, else 0
   * @param endState how it ended, if it has ended
   */
  public record JobStatus(Presence presence, long revision, Optional<JobState> endState) {
    static final JobStatus MISSING = new JobStatus(Presence.MISSING, 0, Optional.empty());
    static final JobStatus UNAVAILABLE = new JobStatus(Presence.UNAVAILABLE, 0, Optional.empty());

    static JobStatus active(long revision) {
      return new JobStatus(Presence.ACTIVE, revision, Optional.empty());
    }

    static JobStatus ended(JobState endState) {
      return new JobStatus(Presence.ENDED, 0, Optional.of(endState));
    }

    /** True if the job has been accepted. */
    public boolean found() {
      return presence == Presence.ACTIVE || presence == Presence.ENDED;
    }
  }

  /**
   * Jobs that have ended.
   *
   * @param askedMicros when the oldest of the reads that showed the others as active had been sent
   */
  public record EndedJobs(Set<String> uids, long askedMicros) {}

  /** A question about a job whose record is known. */
  private record Question(
      String uid, long revision, int attemptsLeft, Consumer<JobStatus> handler) {
    String key() {
      return RecordKeys.active(uid);
    }
  }

  /** A transaction takes so many preconditions for each operation that it may hold. */
  private static final int PRECONDITIONS_PER_OPERATION = 4;

  /** For how long a job that was active is taken to be so by {@link #findEnded}. */
  private static final long ACTIVE_VALID_MICROS = 3_000_000;

  private static final Logger LOG = LoggerFactory.getLogger(JobRecordCache.class);

  private final Loop loop;
  private final StateClient store;
  private final Metrics metrics;
  private final JobStore layout;
  private final JobFinder finder;
  private final RateLimitRetry retry;
  private final KnownJobs knownJobs = new KnownJobs();
  private final DependencyRecordCache dependencyRecords;
  private final QuestionBatch<Question> questions;

  /** Jobs that were active, by when that was asked. */
  private final Map<String, Long> activeAskedMicros = new HashMap<>();

  /** An empty cache over this client. */
  public JobRecordCache(Loop loop, StateClient store, JobStore layout, Metrics metrics) {
    this.loop = loop;
    this.store = store;
    this.metrics = metrics;
    this.layout = layout;
    this.finder = new JobFinder(loop, store);
    this.retry = new RateLimitRetry(loop);
    this.dependencyRecords = new DependencyRecordCache(loop, store, finder, knownJobs);
    this.questions =
        new QuestionBatch<>(
            loop,
            () -> PRECONDITIONS_PER_OPERATION * layout.limits().maxOperations(),
            this::compare);
  }

  /** The job has been accepted with this revision. */
  public void jobAccepted(String uid, long revision) {
    if (revision > 0) {
      knownJobs.activeSeen(uid, revision);
    }
  }

  /**
   * A job that depends on others has been accepted with this revision.
   *
   * @param handler takes what follows from how those end
   */
  public void dependentJobAccepted(
      String uid, long revision, List<String> dependencies, Consumer<JobStatus> handler) {
    dependencyRecords.jobAccepted(uid, revision, dependencies);
    resolveDependencies(uid, revision, handler);
  }

  /** The job's end is stored. */
  public void jobEnded(String uid, JobState endState) {
    knownJobs.jobEnded(uid, endState);
    dependencyRecords.jobEnded(uid, endState);
  }

  /**
   * Which of these were never accepted, by reads begun now where that is not known of them.
   *
   * @param handler takes nothing when that can't be found out
   */
  public void findNeverAccepted(Collection<String> uids, Consumer<Optional<Set<String>>> handler) {
    Set<String> unknown = new HashSet<>();
    for (String uid : uids) {
      if (knownJobs.activeRevision(uid).isEmpty() && knownJobs.finalState(uid).isEmpty()) {
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
          job.endState().ifPresent(endState -> jobEnded(uid, endState));
        });
    return neverAccepted;
  }

  /** How it ended, if that is known without asking. */
  public Optional<JobState> knownEndState(String uid) {
    return knownJobs.finalState(uid);
  }

  /**
   * Which of these jobs have ended, as of a few seconds ago at most.
   *
   * @param handler takes nothing when that can't be found out
   */
  public void findEnded(Collection<String> uids, Consumer<Optional<EndedJobs>> handler) {
    long now = loop.nowMicros();
    activeAskedMicros.values().removeIf(asked -> now - asked > ACTIVE_VALID_MICROS);
    EndedSearch search = new EndedSearch(now, handler);
    for (String uid : uids) {
      Long asked = activeAskedMicros.get(uid);
      if (asked != null) {
        search.activeSince(asked);
      } else {
        search.lookUp(uid);
      }
    }
    search.allAsked();
  }

  /** One search for jobs that have ended among those named. */
  private final class EndedSearch {
    private final long startedMicros;
    private final Consumer<Optional<EndedJobs>> handler;
    private final Set<String> ended = new HashSet<>();

    /** Answers to wait for, and one for the asking itself. */
    private int pending = 1;

    private boolean failed;
    private long oldestAskedMicros;

    EndedSearch(long startedMicros, Consumer<Optional<EndedJobs>> handler) {
      this.startedMicros = startedMicros;
      this.handler = handler;
      this.oldestAskedMicros = startedMicros;
    }

    void activeSince(long askedMicros) {
      oldestAskedMicros = Math.min(oldestAskedMicros, askedMicros);
    }

    void lookUp(String uid) {
      pending++;
      JobRecordCache.this.lookUp(
          uid,
          status -> {
            switch (status.presence()) {
              case ACTIVE -> activeAskedMicros.put(uid, startedMicros);
              case UNAVAILABLE -> failed = true;
              case ENDED, MISSING -> ended.add(uid);
            }
            answered();
          });
    }

    void allAsked() {
      answered();
    }

    private void answered() {
      pending--;
      if (pending == 0) {
        handler.accept(
            failed ? Optional.empty() : Optional.of(new EndedJobs(ended, oldestAskedMicros)));
      }
    }
  }

  /** Finds out; the answer comes later, on the loop. */
  public void lookUp(String uid, Consumer<JobStatus> handler) {
    lookUp(uid, RateLimitRetry.MAX_ATTEMPTS, handler);
  }

  private void lookUp(String uid, int attemptsLeft, Consumer<JobStatus> handler) {
    Optional<JobState> endState = knownJobs.finalState(uid);
    if (endState.isPresent()) {
      handler.accept(JobStatus.ended(endState.get()));
      return;
    }
    OptionalLong revision = knownJobs.activeRevision(uid);
    if (revision.isPresent()) {
      questions.add(new Question(uid, revision.getAsLong(), attemptsLeft, handler));
      return;
    }
    // A job that depends on others and is in the graph need not be read again: what has ended is
    // asked for all of them.
    long dependentRevision = dependencyRecords.revision(uid);
    if (dependentRevision > 0) {
      resolveDependencies(uid, dependentRevision, handler);
    } else {
      readActive(uid, attemptsLeft, handler);
    }
  }

  /** Finds out with one transaction whether any of these records has changed. */
  private void compare(List<Question> asked) {
    Transaction transaction = new Transaction();
    Set<String> keys = new HashSet<>();
    for (Question question : asked) {
      if (keys.add(question.key())) {
        transaction.require(question.key(), question.revision());
      }
    }
    metrics.count("reads_coalesced", asked.size());
    store.transaction(
        transaction,
        StateClient.RequestPriority.ORDINARY,
        result -> {
          switch (result.outcome()) {
            case APPLIED ->
                asked.forEach(
                    question -> question.handler().accept(JobStatus.active(question.revision())));
            case CONFLICT -> {
              Set<String> changed = new HashSet<>(result.failed());
              asked.forEach(question -> someChanged(question, changed));
            }
            case REFUSED, UNKNOWN ->
                asked.forEach(question -> compareFailed(question, result.status()));
          }
        });
  }

  /**
   * Some of the records compared have changed.
   *
   * @param changed keys of them; whether all are named is not promised, so the others are compared
   *     once more
   */
  private void someChanged(Question question, Set<String> changed) {
    if (changed.isEmpty() || changed.contains(question.key()) || question.attemptsLeft() <= 1) {
      knownJobs.forgetActive(question.uid());
      readActive(question.uid(), RateLimitRetry.MAX_ATTEMPTS, question.handler());
    } else {
      lookUp(question.uid(), question.attemptsLeft() - 1, question.handler());
    }
  }

  private void compareFailed(Question question, int status) {
    retry.retryOr(
        status,
        question.attemptsLeft(),
        () -> lookUp(question.uid(), question.attemptsLeft() - 1, question.handler()),
        () -> question.handler().accept(JobStatus.UNAVAILABLE));
  }

  /**
   * An active job first, then an ended one: the end moves it in one change, so a job that is found
   * under neither key had not been accepted when the first read began.
   */
  private void readActive(String uid, int attemptsLeft, Consumer<JobStatus> handler) {
    store.get(
        RecordKeys.active(uid),
        StateClient.RequestPriority.ORDINARY,
        result -> {
          if (result.found() && ActiveRecord.hasDependencies(result.item().data())) {
            resolveDependencies(uid, result.item().revision(), handler);
          } else if (result.found()) {
            knownJobs.activeSeen(uid, result.item().revision());
            handler.accept(JobStatus.active(result.item().revision()));
          } else if (result.missing()) {
            readEnded(uid, attemptsLeft, handler);
          } else {
            retry.retryOr(
                result.status(),
                attemptsLeft,
                () -> readActive(uid, attemptsLeft - 1, handler),
                () -> handler.accept(JobStatus.UNAVAILABLE));
          }
        });
  }

  private void readEnded(String uid, int attemptsLeft, Consumer<JobStatus> handler) {
    Optional<JobState> known = knownJobs.finalState(uid);
    if (known.isPresent()) {
      handler.accept(JobStatus.ended(known.get()));
      return;
    }
    store.get(
        RecordKeys.ended(uid),
        StateClient.RequestPriority.ORDINARY,
        result -> {
          Optional<JobState> endState =
              result.found() ? EndedRecord.finalState(result.item().data()) : Optional.empty();
          if (endState.isPresent()) {
            jobEnded(uid, endState.get());
            handler.accept(JobStatus.ended(endState.get()));
          } else if (result.missing()) {
            handler.accept(JobStatus.MISSING);
          } else {
            retry.retryOr(
                result.status(),
                attemptsLeft,
                () -> readEnded(uid, attemptsLeft - 1, handler),
                () -> handler.accept(JobStatus.UNAVAILABLE));
          }
        });
  }

  /**
   * For a job that depends on others, or did: whether it is cancelled through one of them follows
   * from how those ended.
   */
  private void resolveDependencies(String uid, long revision, Consumer<JobStatus> handler) {
    dependencyRecords.ask(
        uid,
        answer -> {
          switch (answer) {
            case WAITING -> handler.accept(JobStatus.active(revision));
            case RELEASED -> {
              // Nothing before it can be cancelled any more: from now on it is a job like others.
              knownJobs.activeSeen(uid, revision);
              handler.accept(JobStatus.active(revision));
            }
            case CANCELLED -> cancelWithDependency(uid, revision, handler);
            case ENDED -> readEnded(uid, RateLimitRetry.MAX_ATTEMPTS, handler);
            case UNAVAILABLE -> handler.accept(JobStatus.UNAVAILABLE);
          }
        });
  }

  /** Stored before it is told, like every end. */
  private void cancelWithDependency(String uid, long revision, Consumer<JobStatus> handler) {
    String dependency = dependencyRecords.failedDependencyOf(uid).orElse("unknown");
    store.transaction(
        layout.endJob(uid, revision, JobState.CANCELLED, loop.wallMicros(), List.of()),
        StateClient.RequestPriority.URGENT,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> {
              LOG.info("{} is cancelled with its dependency {}", uid, dependency);
              metrics.count("jobs_cancelled_with_dependency");
              jobEnded(uid, JobState.CANCELLED);
              handler.accept(JobStatus.ended(JobState.CANCELLED));
            }
            case REFUSED -> handler.accept(JobStatus.UNAVAILABLE);
            // Another controller stored it, or this was carried out without an answer: the record
            // tells.
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
