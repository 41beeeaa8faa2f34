package plumlever.leader.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.record.RecoveryRead;
import plumlever.lease.RenewalLimit;
import plumlever.store.JobStore;
import plumlever.store.PrefixWatch;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobState;

/**
 * The jobs that have not ended. They are loaded once from the records that a new leader reads, and
 * then follow the state service by a watch.
 */
public final class ActiveJobs {
  private static final long WATCH_RETRY_MICROS = 500_000;
  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final TermContext context;
  private final StartedJobIndex startedJobs;
  private final Runnable changed;
  private final Map<String, Job> active = new LinkedHashMap<>();
  private final StoredProgress storedProgress;
  private final DependencyResolver dependencies;
  private final RenewalLimit limit;
  private final PrefixWatch watch;

  /** When the latest answered read that shows which jobs have ended was sent. */
  private long endsKnownMicros = NEVER_MICROS;

  /**
   * The jobs of one term, none until they are loaded.
   *
   * @param changed runs when a job has come, has ended or may start
   */
  public ActiveJobs(TermContext context, StartedJobIndex startedJobs, Runnable changed) {
    this.context = context;
    this.log = context.logs().of(ActiveJobs.class);
    this.startedJobs = startedJobs;
    this.changed = changed;
    Map<String, Job> activeView = Collections.unmodifiableMap(active);
    this.storedProgress = new StoredProgress(context, activeView);
    this.dependencies =
        new DependencyResolver(
            context,
            activeView,
            new DependentCancellation(context, uid -> jobEnded(uid, JobState.CANCELLED)),
            changed);
    this.limit = new RenewalLimit(context.platform().workers());
    this.watch =
        new PrefixWatch(
            context.loop(),
            context.store(),
            JobStore.ACTIVE,
            limit::watchMicros,
            WATCH_RETRY_MICROS,
            new WatchListener());
  }

  /** All active jobs, in the order in which they were found. */
  public Collection<Job> all() {
    return active.values();
  }

  /** The job, or null if it is not active. */
  public Job get(String uid) {
    return active.get(uid);
  }

  /** The progress records as earlier leaders left them. */
  public StoredProgress storedProgress() {
    return storedProgress;
  }

  /**
   * True while a task may be started, or the lease of a machine with tasks renewed. Later, the time
   * within which a cancellation that this leader does not know of must have stopped all tasks might
   * expire before the lease does.
   */
  public boolean mayStartOrRenew() {
    return limit.mayRenew(context.loop().nowMicros(), endsKnownMicros);
  }

  /** When the latest answered read that shows which jobs have ended was sent. */
  public long endsKnownMicros() {
    return endsKnownMicros;
  }

  /** Adds all jobs that the new leader has read, and starts to watch for changes since then. */
  public void load(RecoveryRead found) {
    endsKnownMicros = found.jobsReadSentMicros();
    StateClient.Listing jobs = found.listing(JobStore.ACTIVE);
    startedJobs.read(found.listing(JobStore.STARTED).items());
    jobs.items().forEach(item -> addJob(item.key(), item.data(), item.revision(), true));
    found.listing(JobStore.PROGRESS).items().forEach(storedProgress::read);
    startedJobs.loaded(this);
    dependencies.loaded();
    watch.watchFrom(jobs.storeRevision());
  }

  /**
   * Adds a job unless it is known.
   *
   * @param inheritable it was there when the term began, so earlier leaders may have started it
   */
  private void addJob(String key, JsonNode data, long revision, boolean inheritable) {
    String uid = uidOf(key);
    if (active.containsKey(uid)) {
      return;
    }
    try {
      long ageMicros = context.loop().wallMicros() - JobStore.acceptedWallMicros(data);
      Job job =
          new Job(
              JobStore.spec(data),
              revision,
              context.loop().nowMicros() - Math.max(0, ageMicros),
              inheritable && startedJobs.mayHaveStarted(uid));
      active.put(uid, job);
      log.debug(
          "{} is active: {} tasks of class {}, accepted {} ms ago",
          uid,
          job.spec().taskCount(),
          job.spec().jobClass(),
          ageMicros / 1_000);
      dependencies.add(job, JobStore.dependenciesKeys(uid, data));
    } catch (InvalidMessageException e) {
      log.error("{} can't be read: {}", key, e.getMessage());
    }
  }

  private static String uidOf(String key) {
    return key.substring(JobStore.ACTIVE.length());
  }

  private void removeJob(String uid, Optional<JobState> endState) {
    Job job = active.remove(uid);
    if (job != null) {
      job.markOver();
      startedJobs.remove(job);
      log.debug("{} has ended", uid);
    }
    dependencies.jobEnded(uid, endState);
  }

  /** The job's end is stored; known here before the watch reports it. */
  public void jobEnded(String uid, JobState endState) {
    removeJob(uid, Optional.of(endState));
    changed.run();
  }

  /**
   * Another controller has confirmed the cancellation of these jobs: none of their tasks is started
   * any more, and those that run are stopped.
   */
  public void cancellationsConfirmed(Collection<String> uids) {
    for (String uid : uids) {
      Job job = active.get(uid);
      if (job != null && !job.over()) {
        job.confirmCancellation();
        changed.run();
      }
    }
  }

  /**
   * Sets how the cost of a task is estimated, image included, with which deadlines are propagated
   * along dependencies.
   */
  public void useTaskCosts(ToLongFunction<Job> taskCostMicros) {
    dependencies.useTaskCosts(taskCostMicros);
  }

  /** Estimates the costs of tasks anew, for the next {@link #propagateGoals}. */
  public void updateTaskCosts() {
    dependencies.updateTaskCosts();
  }

  /** Propagates deadlines and priorities along dependencies; cheap where nothing has changed. */
  public void propagateGoals() {
    dependencies.propagateGoals();
  }

  /** Stops following the records; called once more has no effect. */
  public void close() {
    watch.close();
    dependencies.close();
  }

  /** Applies changes of the job records. */
  private final class WatchListener implements PrefixWatch.Listener {
    /** Changes were missed: what is not listed any more has ended. */
    @Override
    public void listed(StateClient.Listing listing, long sentMicros) {
      Set<String> listed = new HashSet<>();
      for (StateClient.Item item : listing.items()) {
        listed.add(uidOf(item.key()));
        addJob(item.key(), item.data(), item.revision(), false);
      }
      List<String> ended = new ArrayList<>(active.keySet());
      ended.removeAll(listed);
      ended.forEach(uid -> removeJob(uid, Optional.empty()));
      dependencies.resolve();
      endsKnownMicros = sentMicros;
      changed.run();
    }

    @Override
    public void changed(List<StateClient.KeyEvent> changes, long sentMicros) {
      endsKnownMicros = sentMicros;
      for (StateClient.KeyEvent change : changes) {
        if (change.deleted()) {
          removeJob(uidOf(change.key()), Optional.empty());
        } else {
          addJob(change.key(), change.data(), change.revision(), false);
        }
      }
      if (!changes.isEmpty()) {
        dependencies.resolve();
        changed.run();
      }
    }
  }
}
