package plumlever.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import plumlever.wire.JobState;

/**
 * The directed acyclic graph of jobs and their dependencies. The graph derives which jobs are
 * released, which are cancelled, and which effective goal each job has. The class does no I/O:
 * callers pass in the stored records. The leader uses the graph, and so do the controllers that
 * serve users.
 *
 * <p>A job is released when all of its dependencies are stored as done. A job that has not ended is
 * cancelled as soon as a direct or transitive dependency is stored as cancelled. Dependencies
 * inherit the deadline and the priority of their dependents ({@link EffectiveGoal}).
 *
 * <p>Records are immutable, and a job can only name dependencies that were accepted before it, so
 * the graph has no cycles. The cost of an operation is proportional to the number of jobs that the
 * operation changes. No operation recurses, so a long chain of jobs can't overflow the stack.
 */
public final class DependencyGraph {
  /** The state of a job, derived from the records read so far. */
  public enum State {
    /** No record of the job has been read, or the job has ended and has left the graph. */
    UNKNOWN,
    /** At least one dependency of the job is not known to be done. */
    WAITING,
    /** All dependencies of the job are done. */
    RELEASED,
    /** The job or one of its direct or transitive dependencies is cancelled. */
    CANCELLED,
    /** The job has completed. */
    DONE
  }

  private final Map<String, JobVertex> vertices = new HashMap<>();
  private final List<String> released = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final GoalPropagation goalPropagation = new GoalPropagation();

  /**
   * Adds a job that has not ended, with its dependencies. Has no effect if the job has already been
   * added.
   *
   * @param revision revision of the job's record
   * @return the dependencies that the graph does not know; the caller has to read their records and
   *     add them
   */
  public List<String> addJob(String uid, long revision, Collection<String> dependencies) {
    JobVertex vertex = vertices.computeIfAbsent(uid, JobVertex::new);
    if (vertex.isKnown()) {
      return List.of();
    }
    vertex.markAccepted(revision);
    List<String> unknown = new ArrayList<>();
    JobVertex cancelledDependency = null;
    for (String name : dependencies) {
      JobVertex dependency = vertices.computeIfAbsent(name, JobVertex::new);
      vertex.addDependency(dependency);
      if (!dependency.isKnown()) {
        unknown.add(name);
      } else if (dependency.isCancelled()) {
        cancelledDependency = dependency;
      }
    }
    if (cancelledDependency != null) {
      cancel(vertex, cancelledDependency.uid());
    } else if (!vertex.hasOpenDependencies()) {
      release(vertex);
    }
    return unknown;
  }

  private void release(JobVertex vertex) {
    vertex.markReleased();
    released.add(vertex.uid());
  }

  /**
   * Records that a job's record shows that the job has ended. Has no effect on a job that the graph
   * does not hold.
   *
   * @param finalState the final state in the record
   * @param endedMicros time at which the job ended
   */
  public void recordEnd(String uid, JobState finalState, long endedMicros) {
    JobVertex vertex = vertices.get(uid);
    if (vertex == null || vertex.isDone()) {
      return;
    }
    if (finalState != JobState.CANCELLED) {
      vertex.markDone();
      releaseDependents(vertex, endedMicros);
    } else if (!vertex.isCancelled()) {
      cancel(vertex, uid);
    }
    // The graph does not need the ended job any more. If a later job depends on the ended job, the
    // caller reads the ended job's record again.
    vertices.remove(uid, vertex);
  }

  private void releaseDependents(JobVertex done, long endedMicros) {
    for (JobVertex dependent : done.dependents()) {
      if (dependent.completeDependency(endedMicros) && dependent.state() == State.WAITING) {
        release(dependent);
      }
    }
  }

  /**
   * Cancels the job and all jobs that depend on it, directly or transitively. Visits each job once.
   */
  private void cancel(JobVertex first, String failedDependency) {
    first.markCancelled(failedDependency);
    List<JobVertex> affected = new ArrayList<>();
    affected.add(first);
    for (int i = 0; i < affected.size(); i++) {
      JobVertex vertex = affected.get(i);
      cancelled.add(vertex.uid());
      goalPropagation.markDependenciesStale(vertex);
      for (JobVertex dependent : vertex.dependents()) {
        if (!dependent.hasEnded()) {
          dependent.markCancelled(failedDependency);
          affected.add(dependent);
        }
      }
    }
  }

  /** The state of the job, derived from the job records that have been read so far. */
  public State stateOf(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? State.UNKNOWN : vertex.state();
  }

  /**
   * Returns the revision of the job's record in the state service; 0 if the graph does not hold the
   * job.
   */
  public long revision(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? 0 : vertex.revision();
  }

  /**
   * The job whose cancellation caused the cancellation of this job; empty if this job is not
   * cancelled.
   */
  public Optional<String> failedDependencyOf(String uid) {
    return Optional.ofNullable(vertices.get(uid)).map(JobVertex::failedDependency);
  }

  /**
   * Time in microseconds at which the last dependency of the job ended; 0 if that time is unknown
   * or if the job has no dependencies.
   */
  public long releasedMicros(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? 0 : vertex.releasedMicros();
  }

  /** The dependencies of the job that are not done, for log lines. */
  public List<String> openDependencies(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null
        ? List.of()
        : vertex.dependencies().stream()
            .filter(dependency -> !dependency.isDone())
            .map(JobVertex::uid)
            .toList();
  }

  /** True if at least one job that has not ended depends on this job. */
  public boolean hasLiveDependents(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex != null
        && vertex.dependents().stream().anyMatch(dependent -> !dependent.hasEnded());
  }

  /** Returns the ids of the jobs released since the last call of this method, and forgets them. */
  public List<String> drainReleased() {
    return drain(released);
  }

  /**
   * Returns the ids of the jobs cancelled since the last call of this method, and forgets them.
   * Includes jobs that have a cancellation record of their own.
   */
  public List<String> drainCancelled() {
    return drain(cancelled);
  }

  private static List<String> drain(List<String> source) {
    List<String> drained = List.copyOf(source);
    source.clear();
    return drained;
  }

  /** The number of jobs in the graph. */
  public int size() {
    return vertices.size();
  }

  /**
   * Sets the job's own goal (deadline and priority), without what the job inherits from its
   * dependents. Has no effect on a job that the graph does not hold.
   *
   * @param durationMicros estimated duration of the job after its release
   */
  public void setGoal(String uid, EffectiveGoal ownGoal, long durationMicros) {
    JobVertex vertex = vertices.get(uid);
    if (vertex == null) {
      return;
    }
    vertex.setOwnGoal(ownGoal);
    vertex.setDurationMicros(durationMicros);
    goalPropagation.markStale(vertex);
    goalPropagation.markDependenciesStale(vertex);
  }

  /**
   * Replaces the estimated durations of all jobs that have a goal and have not ended.
   *
   * @param durationMicros estimated duration by job id
   */
  public void updateDurations(ToLongFunction<String> durationMicros) {
    for (JobVertex vertex : vertices.values()) {
      if (vertex.ownGoal() != null && !vertex.hasEnded()) {
        long duration = durationMicros.applyAsLong(vertex.uid());
        if (duration != vertex.durationMicros()) {
          vertex.setDurationMicros(duration);
          goalPropagation.markDependenciesStale(vertex);
        }
      }
    }
  }

  /**
   * Recomputes the effective goal (the earliest deadline and the highest priority of a job and its
   * dependents) of each job affected by changes since the last call.
   *
   * @param changed receives the id of each job whose effective goal has changed
   */
  public void propagateGoals(Consumer<String> changed) {
    goalPropagation.propagate(changed);
  }

  /**
   * The earliest deadline and the highest priority of the job and its dependents; null before the
   * first {@link #propagateGoals}.
   */
  public EffectiveGoal effectiveGoal(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? null : vertex.effectiveGoal();
  }
}
