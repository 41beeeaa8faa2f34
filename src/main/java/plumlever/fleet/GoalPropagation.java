package plumlever.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Computes the effective goals of jobs from the goals of their dependents. Only jobs that are
 * marked stale are recomputed, so the cost of a change is proportional to the number of affected
 * jobs.
 */
final class GoalPropagation {
  /**
   * Queue of jobs whose effective goal (deadline and priority) has to be recomputed. The highest
   * record revision comes first, so that a job is processed after all of its dependents.
   */
  private final PriorityQueue<JobVertex> stale =
      new PriorityQueue<>(Comparator.comparingLong(JobVertex::revision).reversed());

  /**
   * Marks the job's effective goal (deadline and priority, own or inherited from dependents) for
   * recomputation, unless the job has ended or has no goal of its own yet.
   */
  void markStale(JobVertex vertex) {
    if (vertex.ownGoal() != null && !vertex.hasEnded()) {
      stale.add(vertex);
    }
  }

  /** Marks the effective goals of all dependencies of the job for recomputation. */
  void markDependenciesStale(JobVertex vertex) {
    vertex.dependencies().forEach(this::markStale);
  }

  /**
   * Recomputes the effective goal (deadline and priority) of each job that has been marked, once
   * per job.
   *
   * @param changed receives the id of each job whose effective goal has changed
   */
  void propagate(Consumer<String> changed) {
    JobVertex previous = null;
    while (!stale.isEmpty()) {
      JobVertex vertex = stale.poll();
      // A job that was marked several times is in the queue several times; its entries follow one
      // another.
      if (vertex == previous || vertex.hasEnded()) {
        continue;
      }
      previous = vertex;
      EffectiveGoal goal = computeGoal(vertex);
      if (!goal.equals(vertex.effectiveGoal())) {
        vertex.setEffectiveGoal(goal);
        changed.accept(vertex.uid());
        markDependenciesStale(vertex);
      }
    }
  }

  private static EffectiveGoal computeGoal(JobVertex vertex) {
    EffectiveGoal goal = vertex.ownGoal();
    for (JobVertex dependent : vertex.dependents()) {
      if (!dependent.hasEnded() && dependent.effectiveGoal() != null) {
        goal = goal.strictest(dependent.effectiveGoal().forDependency(dependent.durationMicros()));
      }
    }
    return goal;
  }
}
