package plumlever.leader.job;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import plumlever.fleet.DependencyGraph;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.store.JobFinder;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.JobState;

/**
 * Resolves the dependencies of active jobs. A job is released when all its dependencies are stored
 * as done, and cancelled when one of them is stored as cancelled; only stored final states count.
 * Deadlines and priorities are propagated from jobs to their dependencies.
 */
final class DependencyResolver {
  private static final long RETRY_MICROS = 500_000;

  private final Logger log;
  private final TermContext context;
  private final Map<String, Job> activeJobs;
  private final Runnable onRelease;
  private final DependentCancellation cancellation;
  private final JobFinder finder;
  private final DependencyGraph graph = new DependencyGraph();

  /**
   * Jobs on which active jobs depend, which are not active themselves and whose final state has not
   * been read yet.
   */
  private final Set<String> unknownFinalStates = new LinkedHashSet<>();

  /**
   * Actions deferred until all active jobs have been added, because a job may be added before the
   * jobs on which it depends.
   */
  private final List<Runnable> deferredUntilLoaded = new ArrayList<>();

  private ToLongFunction<Job> taskDuration = job -> 0;
  private boolean readingFinalStates;
  private boolean loaded;
  private boolean closed;

  /**
   * Creates a resolver that resolves no dependencies before {@link #jobsLoaded}.
   *
   * @param activeJobs live view of the active jobs by id
   * @param onRelease runs after each release of a job
   */
  DependencyResolver(
      TermContext context,
      Map<String, Job> activeJobs,
      DependentCancellation cancellation,
      Runnable onRelease) {
    this.context = context;
    this.log = context.loggerProvider().of(DependencyResolver.class);
    this.activeJobs = activeJobs;
    this.cancellation = cancellation;
    this.onRelease = onRelease;
    this.finder = new JobFinder(context.loop(), context.store());
  }

  /**
   * Adds an active job; the job is blocked if it has dependencies.
   *
   * @param listKeys keys of the stored dependency list; empty if the job record holds all
   *     dependencies
   */
  void add(Job job, List<String> listKeys) {
    if (!listKeys.isEmpty()) {
      job.blockOnDependencies();
      whenLoaded(() -> readDependencies(job, listKeys, 0, new ArrayList<>()));
    } else if (job.spec().hasDependencies()) {
      job.blockOnDependencies();
      whenLoaded(() -> track(job, job.spec().dependencies()));
    } else if (graph.stateOf(job.uid()) == DependencyGraph.State.UNKNOWN
        && graph.hasLiveDependents(job.uid())) {
      track(job, List.of());
    }
  }

  private void whenLoaded(Runnable action) {
    if (loaded) {
      action.run();
    } else {
      deferredUntilLoaded.add(action);
    }
  }

  /**
   * Starts to resolve the dependencies of the jobs added so far; called once all active jobs have
   * been added.
   */
  void jobsLoaded() {
    loaded = true;
    deferredUntilLoaded.forEach(Runnable::run);
    deferredUntilLoaded.clear();
    resolve();
  }

  /**
   * Reads the stored dependency list of a job, one value after the other. The job stays blocked
   * until all values of the list are read.
   */
  private void readDependencies(Job job, List<String> listKeys, int next, List<String> names) {
    if (closed || job.hasEnded()) {
      return;
    }
    if (next == listKeys.size()) {
      track(job, names);
      resolve();
      return;
    }
    context
        .store()
        .get(
            listKeys.get(next),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              if (result.found()) {
                names.addAll(RecordLayout.dependencyIds(result.item().data()));
                readDependencies(job, listKeys, next + 1, names);
              } else {
                // All parts are stored before the job record and deleted only after the job has
                // ended, so the part exists and the read failed only temporarily.
                context
                    .loop()
                    .after(RETRY_MICROS, () -> readDependencies(job, listKeys, next, names));
              }
            });
  }

  /**
   * Adds the job to the graph and looks up those of its dependencies that the graph does not
   * contain yet.
   */
  private void track(Job job, List<String> dependencies) {
    List<String> unknown = graph.addJob(job.uid(), job.revision(), dependencies);
    graph.setGoal(job.uid(), job.goal(), taskDuration.applyAsLong(job));
    for (String name : unknown) {
      Job dependency = activeJobs.get(name);
      if (dependency == null) {
        queueFinalStateRead(name);
      } else if (!dependency.waitsForDependencies()) {
        track(dependency, List.of());
      }
      // Nothing to do for a blocked dependency: it is added to the graph once its own dependencies
      // are known.
    }
    if (!dependencies.isEmpty() && job.waitsForDependencies() && log.isDebugEnabled()) {
      log.debug("job {} waits for dependencies {}", job.uid(), graph.openDependencies(job.uid()));
    }
  }

  private void queueFinalStateRead(String uid) {
    unknownFinalStates.add(uid);
    if (!readingFinalStates) {
      readingFinalStates = true;
      // Reads the final states after the current event, so that those of all dependencies that
      // this event adds are read together.
      context.loop().after(0, this::readFinalStates);
    }
  }

  private void readFinalStates() {
    unknownFinalStates.removeIf(
        uid -> activeJobs.containsKey(uid) || !graph.hasLiveDependents(uid));
    if (closed || unknownFinalStates.isEmpty()) {
      readingFinalStates = false;
      return;
    }
    finder.find(
        new ArrayList<>(unknownFinalStates),
        found -> {
          if (closed) {
            return;
          }
          if (found.isPresent()) {
            found.get().forEach(this::recordFinalState);
            resolve();
          }
          // Reads again later if a final state is still unknown. A dependency that has not ended
          // and is not an active job of this leader was accepted a moment ago, and the watch has
          // not reported it yet.
          boolean retry = found.isEmpty() || !unknownFinalStates.isEmpty();
          context.loop().after(retry ? RETRY_MICROS : 0, this::readFinalStates);
        });
  }

  private void recordFinalState(String uid, JobFinder.Found found) {
    found
        .finalState()
        .ifPresent(
            finalState -> {
              unknownFinalStates.remove(uid);
              graph.recordEnd(uid, finalState, found.endedWallMicros());
            });
  }

  /**
   * Handles the end of an active job.
   *
   * @param finalState the stored final state; empty if it is not known
   */
  void jobEnded(String uid, Optional<JobState> finalState) {
    cancellation.remove(uid);
    if (graph.stateOf(uid) == DependencyGraph.State.UNKNOWN) {
      return;
    }
    if (finalState.isEmpty() && graph.hasLiveDependents(uid)) {
      queueFinalStateRead(uid);
      return;
    }
    // If the final state is unknown, no active job depends on this job, so the state that is
    // recorded instead has no effect.
    graph.recordEnd(uid, finalState.orElse(JobState.CANCELLED), context.loop().wallMicros());
    resolve();
  }

  /**
   * Releases the jobs whose dependencies are all done, and cancels the jobs with a cancelled
   * dependency.
   */
  void resolve() {
    releaseJobs();
    cancelJobs();
  }

  private void releaseJobs() {
    long wallMicros = context.loop().wallMicros();
    for (String uid : graph.drainReleased()) {
      Job job = activeJobs.get(uid);
      if (job != null && job.waitsForDependencies()) {
        long endedWallMicros = graph.releasedMicros(uid);
        long ageMicros = endedWallMicros > 0 ? Math.max(0, wallMicros - endedWallMicros) : 0;
        job.release(context.loop().nowMicros() - ageMicros);
        context.metrics().count("jobs_released");
        log.debug(
            "job {} is released: its last dependency ended {} ms ago", uid, ageMicros / 1_000);
        onRelease.run();
      }
    }
  }

  private void cancelJobs() {
    for (String uid : graph.drainCancelled()) {
      Job job = activeJobs.get(uid);
      if (job != null && job.waitsForDependencies() && cancellation.add(job)) {
        log.info(
            "job {} is cancelled because its dependency {} was cancelled",
            uid,
            graph.failedDependencyOf(uid).orElse("unknown"));
      }
    }
    cancellation.run();
  }

  /**
   * Sets the function that estimates the time in microseconds that a task of a job takes, including
   * the image download. The estimates serve to derive the deadlines of dependencies.
   */
  void useTaskDurations(ToLongFunction<Job> taskDurationMicros) {
    taskDuration = taskDurationMicros;
  }

  /** Recomputes the estimated task durations of all jobs in the graph. */
  void updateTaskDurations() {
    if (graph.size() > 0) {
      graph.updateDurations(this::taskDurationOf);
    }
  }

  /**
   * Propagates deadlines and priorities from jobs to their dependencies; cheap if nothing has
   * changed.
   */
  void propagateGoals() {
    if (graph.size() > 0) {
      graph.propagateGoals(this::applyGoal);
    }
  }

  private long taskDurationOf(String uid) {
    Job job = activeJobs.get(uid);
    return job == null ? 0 : taskDuration.applyAsLong(job);
  }

  private void applyGoal(String uid) {
    Job job = activeJobs.get(uid);
    if (job != null) {
      job.setGoal(graph.effectiveGoal(uid));
    }
  }

  void close() {
    closed = true;
    cancellation.close();
  }
}
