package plumlever.fleet;

import java.util.ArrayList;
import java.util.List;

/** One job of a {@link DependencyGraph}, with the edges to its dependencies and dependents. */
final class JobVertex {
  private final String uid;
  private final List<JobVertex> dependencies = new ArrayList<>();
  private final List<JobVertex> dependents = new ArrayList<>();

  private DependencyGraph.State state = DependencyGraph.State.UNKNOWN;
  private long revision;
  private int openDependencies;
  private String failedDependency;
  private long releasedMicros;

  private EffectiveGoal ownGoal;
  private EffectiveGoal effectiveGoal;
  private long durationMicros;

  JobVertex(String uid) {
    this.uid = uid;
  }

  String uid() {
    return uid;
  }

  List<JobVertex> dependencies() {
    return dependencies;
  }

  List<JobVertex> dependents() {
    return dependents;
  }

  DependencyGraph.State state() {
    return state;
  }

  boolean isKnown() {
    return state != DependencyGraph.State.UNKNOWN;
  }

  boolean isDone() {
    return state == DependencyGraph.State.DONE;
  }

  boolean isCancelled() {
    return state == DependencyGraph.State.CANCELLED;
  }

  /** True once it is done or cancelled. */
  boolean isOver() {
    return isDone() || isCancelled();
  }

  /** Revision of its record: a job has a later one than its dependencies. */
  long revision() {
    return revision;
  }

  /** The job whose cancellation cancelled this one, or null. */
  String failedDependency() {
    return failedDependency;
  }

  /** When the last of its dependencies ended; 0 if that is not known or there is none. */
  long releasedMicros() {
    return releasedMicros;
  }

  /** The record of the job, which has not ended, has been read. */
  void markAccepted(long recordRevision) {
    state = DependencyGraph.State.WAITING;
    revision = recordRevision;
  }

  void addDependency(JobVertex dependency) {
    dependencies.add(dependency);
    if (dependency.isDone()) {
      noteDependencyDone(dependency.releasedMicros);
    } else {
      openDependencies++;
      dependency.dependents.add(this);
    }
  }

  /** True while some dependency is not done, as far as is known. */
  boolean hasOpenDependencies() {
    return openDependencies > 0;
  }

  void markReleased() {
    state = DependencyGraph.State.RELEASED;
  }

  void markDone() {
    state = DependencyGraph.State.DONE;
  }

  void markCancelled(String failed) {
    state = DependencyGraph.State.CANCELLED;
    failedDependency = failed;
  }

  /**
   * A dependency that was open is done.
   *
   * @return true if no other is open
   */
  boolean closeDependency(long endedMicros) {
    noteDependencyDone(endedMicros);
    openDependencies--;
    return openDependencies == 0;
  }

  private void noteDependencyDone(long endedMicros) {
    releasedMicros = Math.max(releasedMicros, endedMicros);
  }

  /** What the job itself asks for; null before it is set. */
  EffectiveGoal ownGoal() {
    return ownGoal;
  }

  void setOwnGoal(EffectiveGoal goal) {
    ownGoal = goal;
  }

  /** Its own goal, or the stricter one that its dependents leave it; null before it is derived. */
  EffectiveGoal effectiveGoal() {
    return effectiveGoal;
  }

  void setEffectiveGoal(EffectiveGoal goal) {
    effectiveGoal = goal;
  }

  /** What the job takes once it is released. */
  long durationMicros() {
    return durationMicros;
  }

  void setDurationMicros(long micros) {
    durationMicros = micros;
  }
}
