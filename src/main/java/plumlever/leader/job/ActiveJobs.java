package plumlever.leader.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import plumlever.fleet.DependencyGraph;
import plumlever.fleet.Job;
import plumlever.leader.context.Context;
import plumlever.leader.record.RecoveryRead;
import plumlever.lease.RenewalLimit;
import plumlever.store.JobFinder;
import plumlever.store.JobStore;
import plumlever.store.PrefixWatch;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.JobState;

/** The jobs that have not ended, kept up with the state service by watching it. */
public final class ActiveJobs {
  private static final long RETRY_MICROS = 500_000;

  private final Logger log;
  private final Context context;
  private final StartedJobIndex startedJobs;
  private final Runnable changed;
  private final Map<String, Job> active = new LinkedHashMap<>();
  private final DependencyGraph dependencyGraph = new DependencyGraph();

  /** Jobs cancelled through another, whose end is to be stored. */
  private final Map<String, Job> dependentsToCancel = new LinkedHashMap<>();

  /** What a task of the job takes, its image included, to plan with. */
  private ToLongFunction<Job> cost = j -> 0;

  private final Set<String> unread = new LinkedHashSet<>();
  private final JobFinder finder;
  private boolean readingEnds;
  private boolean cancelling;

  /**
   * What is put off until all jobs are there: the listing is in no command that the dependency
   * chains would know.
   */
  private List<Runnable> atLoad = new ArrayList<>();

  /** Which stored shared chunk each job's progress was found in. */
  private final Map<Job, Integer> sharedChunks = new HashMap<>();

  private final Map<String, Long> sharedChunkRevisions = new HashMap<>();
  private final Map<Job, Map<String, Long>> chunks = new HashMap<>();
  private final List<String> unknownMachines = new ArrayList<>();
  private final RenewalLimit limit;
  private final PrefixWatch watch;

  /** When the last read that tells which jobs have ended had been sent. */
  private long knownMicros = Long.MIN_VALUE / 2;

  private boolean closed;

  /**
   * The jobs of one term, empty until they are loaded.
   *
   * @param changed runs when a job has come, has ended or may start
   */
  public ActiveJobs(Context context, StartedJobIndex startedJobs, Runnable changed) {
    this.context = context;
    this.log = context.logs().of(ActiveJobs.class);
    this.startedJobs = startedJobs;
    this.changed = changed;
    this.finder = new JobFinder(context.loop(), context.store());
    this.limit = new RenewalLimit(context.platform().workers());
    this.watch =
        new PrefixWatch(
            context.loop(),
            context.store(),
            JobStore.ACTIVE,
            limit::watchMicros,
            RETRY_MICROS,
            new PrefixWatch.Listener() {
              @Override
              public void listed(StateClient.Listing listing, long sentMicros) {
                ActiveJobs.this.listed(listing, sentMicros);
              }

              @Override
              public void changed(List<StateClient.KeyEvent> changes, long sentMicros) {
                onEvents(changes, sentMicros);
              }
            });
  }

  public Collection<Job> all() {
    return active.values();
  }

  public Map<String, Long> sharedChunkRevisions() {
    return sharedChunkRevisions;
  }

  /** Keys of stored progress by job, and those of jobs that have ended. */
  public Map<Job, Map<String, Long>> chunks() {
    return chunks;
  }

  public List<String> unknownMachines() {
    return unknownMachines;
  }

  public Map<Job, Integer> sharedChunks() {
    return sharedChunks;
  }

  public Job get(String uid) {
    return active.get(uid);
  }

  /**
   * True while a lease may be renewed on a machine with tasks, and a task ordered on one: later, a
   * cancellation that this leader has not heard of might come to its end of time before the lease
   * does.
   */
  public boolean mayRenew() {
    return limit.mayRenew(context.loop().nowMicros(), knownMicros);
  }

  /** When the last read of ended jobs that was heard had been sent. */
  public long endsKnownMicros() {
    return knownMicros;
  }

  /** Takes in all jobs and which of them earlier leaders may have begun, and goes on watching. */
  public void load(RecoveryRead found) {
    knownMicros = found.askedMicros();
    StateClient.Listing jobs = found.under(JobStore.ACTIVE);
    startedJobs.read(found.under(JobStore.STARTED).items());
    jobs.items().forEach(i -> put(i.key(), i.data(), i.revision(), true));
    found.under(JobStore.PROGRESS).items().forEach(this::readProgress);
    startedJobs.loaded(this);
    List<Runnable> put = atLoad;
    atLoad = null;
    put.forEach(Runnable::run);
    resolveDependencies();
    watch.watchFrom(jobs.storeRevision());
  }

  private void readProgress(StateClient.Item item) {
    int sharedChunk = JobStore.sharedChunkOf(item.key());
    if (sharedChunk >= 0) {
      sharedChunkRevisions.put(item.key(), item.revision());
      JobStore.readSharedChunk(item.data())
          .forEach(
              (uid, done) -> {
                Job job = active.get(uid);
                if (job != null) {
                  job.storedTasks().or(done);
                  job.storedTasks().stream().forEach(job::markCompleted);
                  sharedChunks.put(job, sharedChunk);
                }
              });
      return;
    }
    String rest = item.key().substring(JobStore.PROGRESS.length());
    int slash = rest.lastIndexOf('/');
    Job job = slash < 0 ? null : active.get(rest.substring(0, slash));
    if (job == null) {
      // Left by a job that ended with more chunks than one transaction drops, or written late.
      context.metrics().count("orphaned_progress_records");
      unknownMachines.add(item.key());
      return;
    }
    chunks.computeIfAbsent(job, j -> new LinkedHashMap<>()).put(item.key(), item.revision());
    try {
      context.layout().readChunk(item.data(), rest.substring(slash + 1), job.storedTasks());
      job.storedTasks().stream().forEach(job::markCompleted);
    } catch (InvalidMessageException e) {
      log.warn("{} can't be read and is taken as no progress", item.key());
    }
  }

  /**
   * @param known the job was there when the term began
   */
  private void put(String key, JsonNode data, long revision, boolean known) {
    String uid = key.substring(JobStore.ACTIVE.length());
    if (active.containsKey(uid)) {
      return;
    }
    try {
      long age = context.loop().wallMicros() - JobStore.acceptedWallMicros(data);
      Job job =
          new Job(
              JobStore.spec(data),
              revision,
              context.loop().nowMicros() - Math.max(0, age),
              known && startedJobs.mayHaveStarted(uid));
      active.put(uid, job);
      log.debug(
          "{} taken in: {} tasks of class {}, accepted {} ms ago",
          uid,
          job.spec().taskCount(),
          job.spec().jobClass(),
          age / 1_000);
      List<String> parts = JobStore.dependenciesKeys(uid, data);
      if (!parts.isEmpty()) {
        job.blockOnDependencies();
        whenLoaded(() -> readDependencies(job, parts, 0, new ArrayList<>()));
      } else if (job.spec().hasDependencies()) {
        job.blockOnDependencies();
        whenLoaded(() -> trackDependencies(job, job.spec().dependencies()));
      } else if (dependencyGraph.stateOf(uid) == DependencyGraph.State.UNKNOWN
          && dependencyGraph.hasLiveDependents(uid)) {
        trackDependencies(job, List.of());
      }
    } catch (InvalidMessageException e) {
      log.error("{} can't be read: {}", key, e.getMessage());
    }
  }

  private void whenLoaded(Runnable action) {
    if (atLoad == null) {
      action.run();
    } else {
      atLoad.add(action);
    }
  }

  /**
   * The names that did not fit the job's own record, part by part; it waits until they are known.
   */
  private void readDependencies(Job job, List<String> parts, int next, List<String> names) {
    if (closed || job.over()) {
      return;
    }
    if (next == parts.size()) {
      trackDependencies(job, names);
      resolveDependencies();
      return;
    }
    context
        .store()
        .get(
            parts.get(next),
            StateClient.RequestPriority.ORDINARY,
            got -> {
              if (got.found()) {
                names.addAll(JobStore.names(got.item().data()));
                readDependencies(job, parts, next + 1, names);
              } else {
                // The parts are stored before the job and dropped after its end, so this one is
                // only not to be had now.
                context.loop().after(RETRY_MICROS, () -> readDependencies(job, parts, next, names));
              }
            });
  }

  /** The job and what it waits on are known: those of which nothing was told yet are looked up. */
  private void trackDependencies(Job job, List<String> dependencies) {
    List<String> unknown = dependencyGraph.addJob(job.uid(), job.revision(), dependencies);
    dependencyGraph.setGoal(job.uid(), job.goal(), cost.applyAsLong(job));
    for (String name : unknown) {
      Job before = active.get(name);
      if (before == null) {
        readEnd(name);
      } else if (!before.waitsForDependencies()) {
        trackDependencies(before, List.of());
      }
      // One that waits itself is told by its own turn.
    }
    if (!dependencies.isEmpty() && job.waitsForDependencies() && log.isDebugEnabled()) {
      log.debug("{} depends on {}", job.uid(), dependencyGraph.openDependencies(job.uid()));
    }
  }

  /** How jobs ended that others wait on: only their records tell. */
  private void readEnd(String uid) {
    unread.add(uid);
    if (!readingEnds) {
      readingEnds = true;
      // What comes in the same turn is read together.
      context.loop().after(0, this::readEnds);
    }
  }

  private void readEnds() {
    unread.removeIf(uid -> active.containsKey(uid) || !dependencyGraph.hasLiveDependents(uid));
    if (closed || unread.isEmpty()) {
      readingEnds = false;
      return;
    }
    finder.find(
        new ArrayList<>(unread),
        found -> {
          if (closed) {
            return;
          }
          if (found != null) {
            found.forEach(
                (uid, f) -> {
                  if (f.endState() != null) {
                    unread.remove(uid);
                    dependencyGraph.recordEnd(uid, f.endState(), f.endedWallMicros());
                  }
                });
            resolveDependencies();
          }
          // What is neither active here nor ended was accepted a moment ago: it comes with the
          // watch events.
          context
              .loop()
              .after(found == null || !unread.isEmpty() ? RETRY_MICROS : 0, this::readEnds);
        });
  }

  /** Carries out what follows from what is known of the dependency chains now. */
  private void resolveDependencies() {
    long wall = context.loop().wallMicros();
    for (String uid : dependencyGraph.drainReleased()) {
      Job job = active.get(uid);
      if (job != null && job.waitsForDependencies()) {
        long ended = dependencyGraph.releasedMicros(uid);
        long age = ended > 0 ? Math.max(0, wall - ended) : 0;
        job.release(context.loop().nowMicros() - age);
        context.metrics().count("jobs_released");
        log.debug("{} is released, its last dependency ended {} ms ago", uid, age / 1_000);
        changed.run();
      }
    }
    for (String uid : dependencyGraph.drainCancelled()) {
      Job job = active.get(uid);
      if (job != null && job.waitsForDependencies() && dependentsToCancel.put(uid, job) == null) {
        log.info(
            "{} is cancelled with its dependency {}", uid, dependencyGraph.failedDependencyOf(uid));
      }
    }
    cancelDependents();
  }

  /** One after the other: each is final for whoever asks already, so this is in no hurry. */
  private void cancelDependents() {
    if (cancelling || closed || dependentsToCancel.isEmpty()) {
      return;
    }
    Job job = dependentsToCancel.values().iterator().next();
    if (job.over()) {
      dependentsToCancel.remove(job.uid());
      cancelDependents();
      return;
    }
    cancelling = true;
    context
        .store()
        .transaction(
            context
                .layout()
                .end(
                    job.uid(),
                    job.revision(),
                    JobState.CANCELLED,
                    context.loop().wallMicros(),
                    List.of()),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              cancelling = false;
              if (result.applied()) {
                context.metrics().count("jobs_cancelled_with_dependency");
                ended(job.uid(), JobState.CANCELLED);
                cancelDependents();
              } else if (result.outcome() == Transaction.Outcome.CONFLICT) {
                // Stored by whoever was asked about it: the watch events will say so.
                dependentsToCancel.remove(job.uid());
                context.loop().after(RETRY_MICROS, this::cancelDependents);
              } else {
                context.loop().after(RETRY_MICROS, this::cancelDependents);
              }
            });
  }

  /** What a task takes, with which the deadlines along a chain are worked out. */
  public void costs(ToLongFunction<Job> ofTask) {
    cost = ofTask;
  }

  /**
   * Brings deadlines and priority along the dependency chains up to date; cheap where nothing
   * changed.
   */
  public void propagateGoals(boolean costsToo) {
    if (dependencyGraph.size() == 0) {
      return;
    }
    if (costsToo) {
      dependencyGraph.updateDurations(
          uid -> {
            Job job = active.get(uid);
            return job == null ? 0 : cost.applyAsLong(job);
          });
    }
    dependencyGraph.propagateGoals(
        uid -> {
          Job job = active.get(uid);
          if (job != null) {
            job.setGoal(dependencyGraph.effectiveGoal(uid));
          }
        });
  }

  /**
   * @param how null when that is not known
   */
  private void drop(String uid, JobState how) {
    Job job = active.remove(uid);
    if (job != null) {
      job.markOver();
      startedJobs.remove(job);
      log.debug("{} has ended", uid);
    }
    dependentsToCancel.remove(uid);
    if (dependencyGraph.stateOf(uid) == DependencyGraph.State.UNKNOWN) {
      return;
    }
    if (how == null && !dependencyGraph.hasLiveDependents(uid)) {
      // Nobody waits to be told how.
      how = JobState.CANCELLED;
    }
    if (how != null) {
      dependencyGraph.recordEnd(uid, how, context.loop().wallMicros());
      resolveDependencies();
    } else {
      readEnd(uid);
    }
  }

  /** The job's end is stored, known before the watch events say so. */
  public void ended(String uid, JobState how) {
    drop(uid, how);
    changed.run();
  }

  /**
   * Another controller's word that these are cancelled: nothing more of them is started, and their
   * tasks are stopped.
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

  /** Changes were missed: what is not listed any more has ended. */
  private void listed(StateClient.Listing listing, long sentMicros) {
    Set<String> listed = new HashSet<>();
    listing
        .items()
        .forEach(
            i -> {
              listed.add(i.key().substring(JobStore.ACTIVE.length()));
              put(i.key(), i.data(), i.revision(), false);
            });
    List<String> gone = new ArrayList<>(active.keySet());
    gone.removeAll(listed);
    gone.forEach(uid -> drop(uid, null));
    resolveDependencies();
    knownMicros = sentMicros;
    changed.run();
  }

  private void onEvents(List<StateClient.KeyEvent> changes, long sentMicros) {
    knownMicros = sentMicros;
    for (StateClient.KeyEvent change : changes) {
      if (change.data() == null) {
        drop(change.key().substring(JobStore.ACTIVE.length()), null);
      } else {
        put(change.key(), change.data(), change.revision(), false);
      }
    }
    if (!changes.isEmpty()) {
      resolveDependencies();
      changed.run();
    }
  }

  public void close() {
    watch.close();
    closed = true;
  }
}
