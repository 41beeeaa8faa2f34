package plumlever.store;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;
import plumlever.wire.HttpStatus;
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
    ACTIVE,
    ENDED,
    MISSING,
    UNAVAILABLE
  }

  /**
   * @param revision of the record of an active job, else 0; {@code how} is null unless it has ended
   */
  public record JobStatus(Presence presence, long revision, JobState endState) {
    static final JobStatus MISSING = new JobStatus(Presence.MISSING, 0, null);
    static final JobStatus UNAVAILABLE = new JobStatus(Presence.UNAVAILABLE, 0, null);

    public boolean found() {
      return presence == Presence.ACTIVE || presence == Presence.ENDED;
    }
  }

  private record Question(String uid, long revision, int tries, Consumer<JobStatus> then) {}

  private static final long GATHER_MICROS = 25_000;
  private static final long AGAIN_MICROS = 150_000;
  private static final int TRIES = 4;
  private static final long LATELY_MICROS = 3_000_000;

  private static final Logger LOG = LoggerFactory.getLogger(JobRecordCache.class);

  private final Loop loop;
  private final StateClient store;
  private final Metrics metrics;
  private final JobStore layout;
  private final JobFinder finder;
  private final DependencyRecordCache dependencyRecords;

  /** Final states never change, so they may be told from memory; evicted ones are read again. */
  private final Cache<String, JobState> jobEnded =
      CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(20_000).build();

  private final Cache<String, Long> revisions =
      CacheBuilder.newBuilder().concurrencyLevel(1).maximumSize(5_000).build();

  /** Jobs that were active, by when that was asked. */
  private final Map<String, Long> activeAsked = new HashMap<>();

  private List<Question> gathered = new ArrayList<>();

  /** An empty cache over this client. */
  public JobRecordCache(Loop loop, StateClient store, JobStore layout, Metrics metrics) {
    this.loop = loop;
    this.store = store;
    this.metrics = metrics;
    this.layout = layout;
    this.finder = new JobFinder(loop, store);
    this.dependencyRecords =
        new DependencyRecordCache(
            loop,
            store,
            finder,
            new DependencyRecordCache.Ends() {
              @Override
              public void jobEnded(String uid, JobState how) {
                revisions.invalidate(uid);
                jobEnded.put(uid, how);
              }

              @Override
              public JobState knownEndState(String uid) {
                return jobEnded.getIfPresent(uid);
              }
            });
  }

  /** The job has been accepted with this revision. */
  public void jobAccepted(String uid, long revision) {
    if (revision > 0) {
      revisions.put(uid, revision);
    }
  }

  /**
   * A job that waits for others has been accepted with this revision: what follows from how those
   * end.
   */
  public void dependentJobAccepted(
      String uid, long revision, List<String> dependencies, Consumer<JobStatus> then) {
    dependencyRecords.jobAccepted(uid, revision, dependencies);
    chain(uid, revision, then);
  }

  /** The job's end is stored. */
  public void jobEnded(String uid, JobState how) {
    revisions.invalidate(uid);
    jobEnded.put(uid, how);
    dependencyRecords.jobEnded(uid, how);
  }

  /**
   * Which of these were never accepted, by reads begun now where that is not known of them.
   *
   * @param then takes null when that can't be found out
   */
  public void findNeverAccepted(Collection<String> uids, Consumer<Set<String>> then) {
    Set<String> open = new HashSet<>();
    for (String uid : uids) {
      if (revisions.getIfPresent(uid) == null && jobEnded.getIfPresent(uid) == null) {
        open.add(uid);
      }
    }
    if (open.isEmpty()) {
      then.accept(Set.of());
      return;
    }
    finder.find(
        open,
        found -> {
          if (found == null) {
            then.accept(null);
            return;
          }
          Set<String> unknown = new HashSet<>();
          found.forEach(
              (uid, f) -> {
                if (!f.accepted()) {
                  unknown.add(uid);
                } else if (f.endState() != null) {
                  jobEnded(uid, f.endState());
                }
              });
          then.accept(unknown);
        });
  }

  /** How it ended, or null if that is not known without asking. */
  public JobState knownEndState(String uid) {
    return jobEnded.getIfPresent(uid);
  }

  /**
   * Jobs that have ended.
   *
   * @param askedMicros when the oldest of the reads that showed the others as active had been sent
   */
  public record EndedJobs(Set<String> uids, long askedMicros) {}

  /**
   * Which of these jobs have ended, as of a few seconds ago at most; null when that can't be found
   * out.
   */
  public void findEnded(Collection<String> uids, Consumer<EndedJobs> then) {
    long now = loop.nowMicros();
    activeAsked.values().removeIf(asked -> now - asked > LATELY_MICROS);
    Set<String> over = new HashSet<>();
    int[] open = {1};
    boolean[] failed = new boolean[1];
    long[] asked = {now};
    Runnable settled =
        () -> {
          if (--open[0] == 0) {
            then.accept(failed[0] ? null : new EndedJobs(over, asked[0]));
          }
        };
    for (String uid : uids) {
      Long before = activeAsked.get(uid);
      if (before != null) {
        asked[0] = Math.min(asked[0], before);
        continue;
      }
      open[0]++;
      lookUp(
          uid,
          lookUp -> {
            if (lookUp.presence() == Presence.ACTIVE) {
              activeAsked.put(uid, now);
            } else if (lookUp.presence() == Presence.UNAVAILABLE) {
              failed[0] = true;
            } else {
              over.add(uid);
            }
            settled.run();
          });
    }
    settled.run();
  }

  /** Finds out; the answer comes later, on the loop. */
  public void lookUp(String uid, Consumer<JobStatus> then) {
    lookUp(uid, TRIES, then);
  }

  private void lookUp(String uid, int tries, Consumer<JobStatus> then) {
    JobState how = jobEnded.getIfPresent(uid);
    if (how != null) {
      then.accept(new JobStatus(Presence.ENDED, 0, how));
      return;
    }
    Long revision = revisions.getIfPresent(uid);
    if (revision == null) {
      // One that waits and is in the book need not be read again: what has ended is asked for all
      // of them.
      long waiting = dependencyRecords.revision(uid);
      if (waiting > 0) {
        chain(uid, waiting, then);
      } else {
        read(uid, tries, then);
      }
      return;
    }
    gathered.add(new Question(uid, revision, tries, then));
    if (gathered.size() == 1) {
      loop.after(GATHER_MICROS, this::compare);
    } else if (gathered.size() >= 4 * layout.limits().maxOperations()) {
      compare();
    }
  }

  private void compare() {
    if (gathered.isEmpty()) {
      return;
    }
    List<Question> asked = gathered;
    gathered = new ArrayList<>();
    Transaction transaction = new Transaction();
    Set<String> keys = new HashSet<>();
    for (Question question : asked) {
      if (keys.add(question.uid)) {
        transaction.require(RecordKeys.active(question.uid), question.revision);
      }
    }
    metrics.count("reads_coalesced", asked.size());
    store.transaction(
        transaction,
        StateClient.RequestPriority.ORDINARY,
        result -> {
          switch (result.outcome()) {
            case APPLIED ->
                asked.forEach(q -> q.then.accept(new JobStatus(Presence.ACTIVE, q.revision, null)));
            case CONFLICT -> {
              Set<String> failed = new HashSet<>(result.failed());
              for (Question question : asked) {
                // Whether all that failed are named is not promised: the others are compared once
                // more.
                if (failed.isEmpty()
                    || failed.contains(RecordKeys.active(question.uid))
                    || question.tries <= 1) {
                  revisions.invalidate(question.uid);
                  read(question.uid, TRIES, question.then);
                } else {
                  lookUp(question.uid, question.tries - 1, question.then);
                }
              }
            }
            default -> {
              for (Question question : asked) {
                if (result.status() == HttpStatus.TOO_MANY_REQUESTS && question.tries > 1) {
                  loop.after(
                      AGAIN_MICROS, () -> lookUp(question.uid, question.tries - 1, question.then));
                } else {
                  question.then.accept(JobStatus.UNAVAILABLE);
                }
              }
            }
          }
        });
  }

  /**
   * An active job first, then an ended one: the end moves it in one change, so a job that is found
   * under neither key had not been accepted when the first read began.
   */
  private void read(String uid, int tries, Consumer<JobStatus> then) {
    store.get(
        RecordKeys.active(uid),
        StateClient.RequestPriority.ORDINARY,
        got -> {
          if (got.found() && ActiveRecord.hasDependencies(got.item().data())) {
            chain(uid, got.item().revision(), then);
          } else if (got.found()) {
            revisions.put(uid, got.item().revision());
            then.accept(new JobStatus(Presence.ACTIVE, got.item().revision(), null));
          } else if (got.missing()) {
            readEnded(uid, tries, then);
          } else {
            again(got.status(), tries, then, () -> read(uid, tries - 1, then));
          }
        });
  }

  /**
   * A job that waits for others, or did: whether it is cancelled through one of them follows from
   * how those ended.
   */
  private void chain(String uid, long revision, Consumer<JobStatus> then) {
    dependencyRecords.ask(
        uid,
        answer -> {
          switch (answer) {
            case WAITING -> then.accept(new JobStatus(Presence.ACTIVE, revision, null));
            case RELEASED -> {
              // Nothing before it can be cancelled any more: from now on it is a job like others.
              revisions.put(uid, revision);
              then.accept(new JobStatus(Presence.ACTIVE, revision, null));
            }
            case CANCELLED -> cancelWithDependency(uid, revision, then);
            case ENDED -> readEnded(uid, TRIES, then);
            case UNAVAILABLE -> then.accept(JobStatus.UNAVAILABLE);
          }
        });
  }

  /** Stored before it is told, like every end. */
  private void cancelWithDependency(String uid, long revision, Consumer<JobStatus> then) {
    String through = dependencyRecords.through(uid);
    Transaction transaction =
        layout.endJob(uid, revision, JobState.CANCELLED, loop.wallMicros(), List.of());
    store.transaction(
        transaction,
        StateClient.RequestPriority.URGENT,
        result -> {
          switch (result.outcome()) {
            case APPLIED -> {
              LOG.info("{} is cancelled with its dependency {}", uid, through);
              metrics.count("jobs_cancelled_with_dependency");
              jobEnded(uid, JobState.CANCELLED);
              then.accept(new JobStatus(Presence.ENDED, 0, JobState.CANCELLED));
            }
            case REFUSED -> then.accept(JobStatus.UNAVAILABLE);
            // Somebody else stored it, or this was carried out unheard: the record tells.
            default ->
                readEnded(
                    uid,
                    TRIES,
                    lookUp ->
                        then.accept(
                            lookUp.presence() == Presence.ENDED ? lookUp : JobStatus.UNAVAILABLE));
          }
        });
  }

  private void readEnded(String uid, int tries, Consumer<JobStatus> then) {
    JobState knownEndState = jobEnded.getIfPresent(uid);
    if (knownEndState != null) {
      then.accept(new JobStatus(Presence.ENDED, 0, knownEndState));
      return;
    }
    store.get(
        RecordKeys.ended(uid),
        StateClient.RequestPriority.ORDINARY,
        got -> {
          JobState how = got.found() ? JobStore.finalState(got.item().data()) : null;
          if (how != null) {
            jobEnded(uid, how);
            then.accept(new JobStatus(Presence.ENDED, 0, how));
          } else if (got.missing()) {
            then.accept(JobStatus.MISSING);
          } else {
            again(got.status(), tries, then, () -> readEnded(uid, tries - 1, then));
          }
        });
  }

  /** A read that was refused by a rate limit is tried again shortly; an outage is told at once. */
  private void again(int status, int tries, Consumer<JobStatus> then, Runnable retry) {
    if (status == HttpStatus.TOO_MANY_REQUESTS && tries > 1) {
      loop.after(AGAIN_MICROS, retry);
    } else {
      then.accept(JobStatus.UNAVAILABLE);
    }
  }
}
