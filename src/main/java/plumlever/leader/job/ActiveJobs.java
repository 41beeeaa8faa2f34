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
import plumlever.store.PrefixWatch;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobState;

/**
 * Holds the jobs that have not ended. The jobs are loaded once from the records that a new leader
 * reads; afterwards a watch on the state service keeps them up to date.
 */
public final class ActiveJobs {
  private static final long WATCH_RETRY_MICROS = 500_000;
  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private final Logger log;
  private final TermContext context;
  private final StartedJobIndex startedJobs;
  private final Runnable onChange;
  private final Map<String, Job> active = new LinkedHashMap<>();
  private final StoredProgress storedProgress;
  private final DependencyResolver dependencies;
  private final RenewalLimit renewalLimit;
  private final PrefixWatch watch;

  /** Send time of the latest answered request that read which jobs have ended. */
  private long endedJobsReadMicros = NEVER_MICROS;

  /**
   * Creates an empty view for one term; {@link #load} fills it.
   *
   * @param onChange runs when a job is added, ends or may start
   */
  public ActiveJobs(TermContext context, StartedJobIndex startedJobs, Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(ActiveJobs.class);
    this.startedJobs = startedJobs;
    this.onChange = onChange;
    Map<String, Job> activeView = Collections.unmodifiableMap(active);
    this.storedProgress = new StoredProgress(context, activeView);
    this.dependencies =
        new DependencyResolver(
            context,
            activeView,
            new DependentCancellation(context, uid -> jobEnded(uid, JobState.CANCELLED)),
            onChange);
    this.renewalLimit = new RenewalLimit(context.platform().workers());
    this.watch =
        new PrefixWatch(
            context.loop(),
            context.store(),
            RecordLayout.ACTIVE,
            renewalLimit::watchTimeoutMicros,
            WATCH_RETRY_MICROS,
            new WatchListener());
  }

  /** Returns all active jobs in the order in which they were added. */
  public Collection<Job> all() {
    return active.values();
  }

  /** Returns the active job with this id, or null if there is none. */
  public Job get(String uid) {
    return active.get(uid);
  }

  /** Returns the progress records that earlier leaders stored. */
  public StoredProgress storedProgress() {
    return storedProgress;
  }

  /**
   * Returns true while the leader may start tasks and renew the leases of machines with tasks.
   * Returns false once the latest read of ended jobs is too old: a job may have been cancelled
   * since that read, and the deadline by which its tasks have to be stopped could pass before the
   * machine's lease expires.
   */
  public boolean mayStartOrRenew() {
    return renewalLimit.mayRenew(context.loop().nowMicros(), endedJobsReadMicros);
  }

  /** Returns the send time of the latest answered request that read which jobs have ended. */
  public long endedJobsReadMicros() {
    return endedJobsReadMicros;
  }

  /**
   * Adds all jobs that the new leader has read, and watches the job records for changes after the
   * revision of that read.
   */
  public void load(RecoveryRead found) {
    endedJobsReadMicros = found.jobsReadSentMicros();
    StateClient.Listing jobs = found.listing(RecordLayout.ACTIVE);
    startedJobs.read(found.listing(RecordLayout.STARTED).items());
    jobs.items().forEach(item -> addJob(item.key(), item.data(), item.revision(), true));
    found.listing(RecordLayout.PROGRESS).items().forEach(storedProgress::read);
    startedJobs.loadEntries(this);
    dependencies.jobsLoaded();
    watch.watchFrom(jobs.storeRevision());
  }

  /**
   * Adds a job unless it is already active.
   *
   * @param existedAtTermStart true if the job existed when the term began, so that earlier leaders
   *     may have started its tasks
   */
  private void addJob(String key, JsonNode data, long revision, boolean existedAtTermStart) {
    String uid = uidOf(key);
    if (active.containsKey(uid)) {
      return;
    }
    try {
      long ageMicros = context.loop().wallMicros() - RecordLayout.acceptedWallMicros(data);
      Job job =
          new Job(
              RecordLayout.spec(data),
              revision,
              context.loop().nowMicros() - Math.max(0, ageMicros),
              existedAtTermStart && startedJobs.mayHaveStarted(uid));
      active.put(uid, job);
      log.debug(
          "job {} is active: {} tasks of class {}, accepted {} ms ago",
          uid,
          job.spec().taskCount(),
          job.spec().jobClass(),
          ageMicros / 1_000);
      dependencies.add(job, RecordLayout.dependencyListKeys(uid, data));
    } catch (InvalidMessageException e) {
      log.error("ignoring unreadable job record {}: {}", key, e.getMessage());
    }
  }

  private static String uidOf(String key) {
    return key.substring(RecordLayout.ACTIVE.length());
  }

  private void removeJob(String uid, Optional<JobState> finalState) {
    Job job = active.remove(uid);
    if (job != null) {
      job.markEnded();
      startedJobs.remove(job);
      log.debug("job {} has ended", uid);
    }
    dependencies.jobEnded(uid, finalState);
  }

  /**
   * Removes a job whose final state is stored, without waiting for the watch to report the change.
   */
  public void jobEnded(String uid, JobState finalState) {
    removeJob(uid, Optional.of(finalState));
    onChange.run();
  }

  /**
   * Marks jobs whose cancellation another controller has confirmed. No further tasks of these jobs
   * are started, and their running tasks are stopped.
   */
  public void cancellationsConfirmed(Collection<String> uids) {
    for (String uid : uids) {
      Job job = active.get(uid);
      if (job != null && !job.hasEnded()) {
        job.confirmCancellation();
        onChange.run();
      }
    }
  }

  /**
   * Sets the function that estimates the time in microseconds that a task of a job takes, including
   * the image download. The propagation of deadlines to dependencies uses these estimates.
   */
  public void useTaskDurations(ToLongFunction<Job> taskDurationMicros) {
    dependencies.useTaskDurations(taskDurationMicros);
  }

  /** Recomputes the estimated task durations that the next call of {@link #propagateGoals} uses. */
  public void updateTaskDurations() {
    dependencies.updateTaskDurations();
  }

  /**
   * Propagates deadlines and priorities from jobs to their dependencies; cheap if nothing has
   * changed.
   */
  public void propagateGoals() {
    dependencies.propagateGoals();
  }

  /** Stops the watch and the dependency resolution. Idempotent. */
  public void close() {
    watch.close();
    dependencies.close();
  }

  /** Applies the changes of job records that the watch reports. */
  private final class WatchListener implements PrefixWatch.Listener {
    /**
     * Handles the full listing of active jobs that follows missed watch events: active jobs that
     * are not listed have ended.
     */
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
      endedJobsReadMicros = sentMicros;
      onChange.run();
    }

    @Override
    public void changed(List<StateClient.KeyEvent> changes, long sentMicros) {
      endedJobsReadMicros = sentMicros;
      for (StateClient.KeyEvent change : changes) {
        if (change.deleted()) {
          removeJob(uidOf(change.key()), Optional.empty());
        } else {
          addJob(change.key(), change.data(), change.revision(), false);
        }
      }
      if (!changes.isEmpty()) {
        dependencies.resolve();
        onChange.run();
      }
    }
  }
}
