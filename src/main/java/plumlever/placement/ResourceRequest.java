package plumlever.placement;

import java.util.List;

/**
 * What one task of a job needs, with the rules of the job.
 *
 * @param runMicros run time to plan with on a machine of nominal speed
 * @param deadlineMicros when it should be complete; Long.MAX_VALUE for none
 * @param startByMicros when it should run; Long.MAX_VALUE for none
 * @param machineTypes null for any
 * @param zone null for any
 * @param spot whether spot machines are allowed
 * @param saves whether a task that is stopped loses little
 */
public record ResourceRequest(
    double cores,
    double accelerators,
    double memoryGb,
    String image,
    double imageGb,
    long runMicros,
    long deadlineMicros,
    long startByMicros,
    List<String> machineTypes,
    String zone,
    boolean spot,
    boolean saves) {

  boolean allows(PlacementCandidate candidate) {
    return (machineTypes == null || machineTypes.contains(candidate.machineType))
        && (zone == null || zone.equals(candidate.zone))
        && (spot || !candidate.spot);
  }

  double share(PlacementCandidate candidate) {
    double share = Math.max(cores / candidate.totalCores, memoryGb / candidate.totalMemoryGb);
    return accelerators > 0
        ? Math.max(
            share, candidate.totalAccelerators > 0 ? accelerators / candidate.totalAccelerators : 2)
        : share;
  }
}
