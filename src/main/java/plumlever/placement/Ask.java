package plumlever.placement;

import java.util.List;

/**
 * What one task of a job needs, with the rules of the job.
 *
 * @param runMicros run time to plan with on a machine of nominal speed
 * @param deadlineMicros when it should be complete; Long.MAX_VALUE for none
 * @param startByMicros when it should run; Long.MAX_VALUE for none
 * @param flavors null for any
 * @param site null for any
 * @param spot whether spot machines are allowed
 * @param saves whether a task that is stopped loses little
 */
public record Ask(
    double cores,
    double accelerators,
    double memoryGb,
    String image,
    double imageGb,
    long runMicros,
    long deadlineMicros,
    long startByMicros,
    List<String> flavors,
    String site,
    boolean spot,
    boolean saves) {

  boolean allows(Seat s) {
    return (flavors == null || flavors.contains(s.flavor))
        && (site == null || site.equals(s.zone))
        && (spot || !s.spot);
  }

  double share(Seat s) {
    double share = Math.max(cores / s.totalCores, memoryGb / s.totalMemoryGb);
    return accelerators > 0
        ? Math.max(share, s.totalAccelerators > 0 ? accelerators / s.totalAccelerators : 2)
        : share;
  }
}
