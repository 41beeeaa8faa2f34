package plumlever.fleet;

import java.util.ArrayList;
import java.util.List;

/** A job in a {@link DependencyGraph}, with the edges to its dependencies and dependents. */
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

  /** True once the job is done or cancelled. */
  boolean hasEnded() {
    return isDone() || isCancelled();
  }

  /** Revision of the job's record. A job always has a higher revision than its dependencies. */
  long revision() {
    return revision;
  }

  /**
   * The id of the job whose cancellation caused the cancellation of this job; null if this job is
   * not cancelled.
   */
  String failedDependency() {
    return failedDependency;
  }

  /**
   * Time in microseconds at which the last dependency of this job ended; 0 if unknown or if the job
   * has no dependencies.
   */
  long releasedMicros() {
    return releasedMicros;
  }

  /** Records that the job's record has been read: the job was accepted and has not ended. */
  void markAccepted(long recordRevision) {
    state = DependencyGraph.State.WAITING;
    revision = recordRevision;
  }

  void addDependency(JobVertex dependency) {
    dependencies.add(dependency);
    if (dependency.isDone()) {
      updateReleasedMicros(dependency.releasedMicros);
    } else {
      openDependencies++;
      dependency.dependents.add(this);
    }
  }

  /** True while some dependency is not known to be done. */
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
   * Records that one dependency, open until now, is done.
   *
   * @return true if no other dependency is open
   */
  boolean completeDependency(long endedMicros) {
    updateReleasedMicros(endedMicros);
    openDependencies--;
    return openDependencies == 0;
  }

  private void updateReleasedMicros(long endedMicros) {
    releasedMicros = Math.max(releasedMicros, endedMicros);
  }

  /** The job's own deadline and priority, without those of its dependents; null until set. */
  EffectiveGoal ownGoal() {
    return ownGoal;
  }

  void setOwnGoal(EffectiveGoal goal) {
    ownGoal = goal;
  }

  /**
   * The earliest deadline and the highest priority of the job and its dependents; null until
   * computed.
   */
  EffectiveGoal effectiveGoal() {
    return effectiveGoal;
  }

  void setEffectiveGoal(EffectiveGoal goal) {
    effectiveGoal = goal;
  }

  /** Estimated duration of the job after its release. */
  long durationMicros() {
    return durationMicros;
  }

  void setDurationMicros(long micros) {
    durationMicros = micros;
  }
}
