package plumlever.placement;

import java.util.List;
import java.util.Set;

/**
 * Requirements of one task of a job: resources, image, times to meet and machine constraints.
 *
 * @param imageGb size of the image in gigabytes
 */
public record ResourceRequest(
    Resources resources,
    String image,
    double imageGb,
    Timing timing,
    MachineConstraints constraints) {

  /** Value of a deadline or latest start time that is not set. */
  public static final long ANY_TIME = Long.MAX_VALUE;

  /**
   * Dominant share (the largest fraction of any single machine resource that a task needs) returned
   * if the task needs accelerators and the machine has none. Above 1, so that the task never fits.
   */
  private static final double UNAVAILABLE_SHARE = 2;

  /** Resources that the task needs on a machine. */
  public record Resources(double cores, double accelerators, double memoryGb) {}

  /**
   * The planned run time of a task and the times that the task should meet.
   *
   * @param runMicros planned run time on a machine of nominal speed
   * @param deadlineMicros latest time at which the task should be complete, or {@link #ANY_TIME}
   * @param startByMicros latest start time, or {@link #ANY_TIME}
   */
  public record Timing(long runMicros, long deadlineMicros, long startByMicros) {}

  /**
   * Constraints on the machines that may run the task.
   *
   * @param machineTypes allowed machine types; null for any
   * @param zone required zone; null for any
   * @param spotAllowed whether spot machines are allowed
   * @param writesCheckpoints whether the task writes checkpoints, which limit the lost work if the
   *     machine is lost
   * @param excludedMachines ids of machines on which the task must not be placed
   */
  public record MachineConstraints(
      List<String> machineTypes,
      String zone,
      boolean spotAllowed,
      boolean writesCheckpoints,
      Set<String> excludedMachines) {

    boolean allow(PlacementCandidate candidate) {
      return (machineTypes == null || machineTypes.contains(candidate.shape.machineType()))
          && (zone == null || zone.equals(candidate.zone))
          && (spotAllowed || !candidate.shape.spot())
          && !excludedMachines.contains(candidate.machineId);
    }

    private MachineConstraints withoutExcludedMachines() {
      return new MachineConstraints(machineTypes, zone, spotAllowed, writesCheckpoints, Set.of());
    }
  }

  /** Returns the same request without excluded machines. */
  public ResourceRequest withoutExcludedMachines() {
    return new ResourceRequest(
        resources, image, imageGb, timing, constraints.withoutExcludedMachines());
  }

  /** Latest time at which the task should start, or {@link #ANY_TIME}. */
  public long startByMicros() {
    return timing.startByMicros;
  }

  /** Planned run time of the task on a machine of nominal speed, in microseconds. */
  public long runMicros() {
    return timing.runMicros;
  }

  /**
   * True if a task that starts at the given time and runs for the given duration meets its latest
   * start time and its deadline.
   */
  public boolean meetsTimes(long startMicros, long taskMicros) {
    return startMicros <= timing.startByMicros && meetsDeadline(startMicros, taskMicros);
  }

  /**
   * True if a task that starts at the given time and runs for the given duration meets its
   * deadline, or if the task has no deadline.
   */
  public boolean meetsDeadline(long startMicros, long taskMicros) {
    return timing.deadlineMicros == ANY_TIME || startMicros + taskMicros <= timing.deadlineMicros;
  }

  /** True if the task has a deadline. */
  public boolean hasDeadline() {
    return timing.deadlineMicros != ANY_TIME;
  }

  /**
   * Returns the dominant share: the largest fraction of any single resource of the machine that the
   * task needs. A task whose dominant share is above 1 does not fit on the machine.
   */
  double dominantShare(MachineShape shape) {
    double share = Math.max(resources.cores / shape.cores(), resources.memoryGb / shape.memoryGb());
    if (resources.accelerators <= 0) {
      return share;
    }
    return Math.max(
        share,
        shape.accelerators() > 0
            ? resources.accelerators / shape.accelerators()
            : UNAVAILABLE_SHARE);
  }
}
