package plumlever.placement;

import java.util.List;

/**
 * What one task of a job needs: resources, an image, times to meet, and rules about machines.
 *
 * @param imageGb the size of the image, in gigabytes
 */
public record ResourceRequest(
    Resources resources, String image, double imageGb, Timing timing, MachineRules rules) {

  /** No deadline, or no time to start by. */
  public static final long ANY_TIME = Long.MAX_VALUE;

  /** Share of a resource that a machine does not have at all: more than the whole machine. */
  private static final double UNAVAILABLE_SHARE = 2;

  /** What the task holds of a machine. */
  public record Resources(double cores, double accelerators, double memoryGb) {}

  /**
   * The times that the task should meet.
   *
   * @param runMicros run time to plan with on a machine of nominal speed
   * @param deadlineMicros when it should be complete, or {@link #ANY_TIME}
   * @param startByMicros when it should run, or {@link #ANY_TIME}
   */
  public record Timing(long runMicros, long deadlineMicros, long startByMicros) {}

  /**
   * On which machines the task may run.
   *
   * @param machineTypes null for any
   * @param zone null for any
   * @param spotAllowed whether spot machines are allowed
   * @param checkpoints whether the task writes checkpoints, so that it loses little with a machine
   */
  public record MachineRules(
      List<String> machineTypes, String zone, boolean spotAllowed, boolean checkpoints) {

    boolean allow(PlacementCandidate candidate) {
      return (machineTypes == null || machineTypes.contains(candidate.shape.machineType()))
          && (zone == null || zone.equals(candidate.zone))
          && (spotAllowed || !candidate.shape.spot());
    }
  }

  /** When it should run, or {@link #ANY_TIME}. */
  public long startByMicros() {
    return timing.startByMicros;
  }

  /** Run time to plan with on a machine of nominal speed. */
  public long runMicros() {
    return timing.runMicros;
  }

  /** True if a task that runs from then on, for so long, meets its times. */
  public boolean isMetBy(long startMicros, long taskMicros) {
    return startMicros <= timing.startByMicros && endsInTime(startMicros, taskMicros);
  }

  /** True if a task that runs from then on, for so long, meets its deadline or has none. */
  public boolean endsInTime(long startMicros, long taskMicros) {
    return timing.deadlineMicros == ANY_TIME || startMicros + taskMicros <= timing.deadlineMicros;
  }

  /** True if the task has a deadline. */
  public boolean hasDeadline() {
    return timing.deadlineMicros != ANY_TIME;
  }

  /** The largest share of the machine's resources that the task takes; above 1 it never fits. */
  double share(MachineShape shape) {
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
