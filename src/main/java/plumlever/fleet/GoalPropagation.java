package plumlever.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Derives the effective goals of jobs from those of their dependents. A change costs what it
 * affects: only jobs that were marked stale are derived again.
 */
final class GoalPropagation {
  /** Latest record first, so that a job comes after all of its dependents. */
  private final PriorityQueue<JobVertex> stale =
      new PriorityQueue<>(Comparator.comparingLong(JobVertex::revision).reversed());

  /** The vertex's effective goal is to be derived again. */
  void markStale(JobVertex vertex) {
    if (vertex.ownGoal() != null && !vertex.isOver()) {
      stale.add(vertex);
    }
  }

  /** The effective goals of all dependencies of the vertex are to be derived again. */
  void markDependenciesStale(JobVertex vertex) {
    vertex.dependencies().forEach(this::markStale);
  }

  /**
   * Derives all stale goals, each once.
   *
   * @param changed takes each job whose effective goal has changed
   */
  void propagate(Consumer<String> changed) {
    JobVertex previous = null;
    while (!stale.isEmpty()) {
      JobVertex vertex = stale.poll();
      // A vertex that was marked several times comes several times in a row.
      if (vertex == previous || vertex.isOver()) {
        continue;
      }
      previous = vertex;
      EffectiveGoal goal = derive(vertex);
      if (!goal.equals(vertex.effectiveGoal())) {
        vertex.setEffectiveGoal(goal);
        changed.accept(vertex.uid());
        markDependenciesStale(vertex);
      }
    }
  }

  private static EffectiveGoal derive(JobVertex vertex) {
    EffectiveGoal goal = vertex.ownGoal();
    for (JobVertex dependent : vertex.dependents()) {
      if (!dependent.isOver() && dependent.effectiveGoal() != null) {
        goal = goal.strictest(dependent.effectiveGoal().forDependency(dependent.durationMicros()));
      }
    }
    return goal;
  }
}
