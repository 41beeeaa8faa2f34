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
 * The directed acyclic graph of jobs that depend on others, and what follows from how those end.
 * Pure: it is told what the stored records say and derives what that means, for the controllers
 * that answer users and for the leader alike.
 *
 * <p>A job is released when all of its dependencies are stored as done, and cancelled as soon as a
 * direct or transitive dependency is stored as cancelled, unless it has ended itself. Where only a
 * dependent has a deadline or a high priority, its dependencies inherit their part of that ({@link
 * EffectiveGoal}). Records never change and a job names only such as were accepted before it, so
 * there are no cycles. Each operation costs what it changes and does not recurse.
 */
public final class DependencyGraph {
  /** What follows for a job from the records read so far. */
  public enum State {
    /** No record of it has been read. */
    UNKNOWN,
    /** Some dependency has not ended, as far as is known. */
    WAITING,
    /** All dependencies are done. */
    RELEASED,
    /** It or a dependency is cancelled. */
    CANCELLED,
    /** It has completed. */
    DONE
  }

  private final Map<String, JobVertex> vertices = new HashMap<>();
  private final List<String> released = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final GoalPropagation goals = new GoalPropagation();

  /**
   * The record of a job that has not ended; repeated calls change nothing.
   *
   * @param revision of the record
   * @return the dependencies of which nothing was known: their records are to be read and told too
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
   * The stored end of a job, whether or not anything is known of it.
   *
   * @param how a final state
   * @param endedMicros when it ended
   */
  public void recordEnd(String uid, JobState how, long endedMicros) {
    JobVertex vertex = vertices.get(uid);
    if (vertex == null || vertex.isDone()) {
      return;
    }
    if (how != JobState.CANCELLED) {
      vertex.markDone();
      releaseDependents(vertex, endedMicros);
    } else if (!vertex.isCancelled()) {
      cancel(vertex, uid);
    }
    // An ended job has no further effect; if a later job names it, its record is read again.
    vertices.remove(uid, vertex);
  }

  private void releaseDependents(JobVertex done, long endedMicros) {
    for (JobVertex dependent : done.dependents()) {
      if (dependent.closeDependency(endedMicros) && dependent.state() == State.WAITING) {
        release(dependent);
      }
    }
  }

  /** Cancels the job and all that depend on it; each is visited once. */
  private void cancel(JobVertex first, String failedDependency) {
    first.markCancelled(failedDependency);
    List<JobVertex> affected = new ArrayList<>();
    affected.add(first);
    for (int i = 0; i < affected.size(); i++) {
      JobVertex vertex = affected.get(i);
      cancelled.add(vertex.uid());
      goals.markDependenciesStale(vertex);
      for (JobVertex dependent : vertex.dependents()) {
        if (!dependent.isOver()) {
          dependent.markCancelled(failedDependency);
          affected.add(dependent);
        }
      }
    }
  }

  /** What follows for the job from the records read so far. */
  public State stateOf(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? State.UNKNOWN : vertex.state();
  }

  /** The revision of its record; 0 where nothing is known of it. */
  public long revision(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? 0 : vertex.revision();
  }

  /** The job whose cancellation cancelled this one, if it is cancelled. */
  public Optional<String> failedDependencyOf(String uid) {
    return Optional.ofNullable(vertices.get(uid)).map(JobVertex::failedDependency);
  }

  /** When the last of its dependencies ended; 0 if that is not known or there is none. */
  public long releasedMicros(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? 0 : vertex.releasedMicros();
  }

  /** Its dependencies that are not done, for the log. */
  public List<String> openDependencies(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null
        ? List.of()
        : vertex.dependencies().stream()
            .filter(dependency -> !dependency.isDone())
            .map(JobVertex::uid)
            .toList();
  }

  /** True if some job that is not over depends on it. */
  public boolean hasLiveDependents(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex != null
        && vertex.dependents().stream().anyMatch(dependent -> !dependent.isOver());
  }

  /** The jobs released since the last call. */
  public List<String> drainReleased() {
    return drain(released);
  }

  /** The jobs cancelled since the last call, those with a record of their own among them. */
  public List<String> drainCancelled() {
    return drain(cancelled);
  }

  private static List<String> drain(List<String> source) {
    List<String> drained = List.copyOf(source);
    source.clear();
    return drained;
  }

  /** How many jobs the graph holds. */
  public int size() {
    return vertices.size();
  }

  /**
   * Sets what the job itself asks for; without effect on a job that the graph does not hold.
   *
   * @param durationMicros what it takes once it is released
   */
  public void setGoal(String uid, EffectiveGoal ownGoal, long durationMicros) {
    JobVertex vertex = vertices.get(uid);
    if (vertex == null) {
      return;
    }
    vertex.setOwnGoal(ownGoal);
    vertex.setDurationMicros(durationMicros);
    goals.markStale(vertex);
    goals.markDependenciesStale(vertex);
  }

  /**
   * Replaces the durations of all jobs that have a goal and are not over.
   *
   * @param durationMicros by job id
   */
  public void updateDurations(ToLongFunction<String> durationMicros) {
    for (JobVertex vertex : vertices.values()) {
      if (vertex.ownGoal() != null && !vertex.isOver()) {
        long duration = durationMicros.applyAsLong(vertex.uid());
        if (duration != vertex.durationMicros()) {
          vertex.setDurationMicros(duration);
          goals.markDependenciesStale(vertex);
        }
      }
    }
  }

  /**
   * Derives the effective goals that changes since the last call affect.
   *
   * @param changed takes each job whose effective goal has changed
   */
  public void propagateGoals(Consumer<String> changed) {
    goals.propagate(changed);
  }

  /** Its goal with its dependents considered; null before {@link #propagateGoals}. */
  public EffectiveGoal effectiveGoal(String uid) {
    JobVertex vertex = vertices.get(uid);
    return vertex == null ? null : vertex.effectiveGoal();
  }
}
