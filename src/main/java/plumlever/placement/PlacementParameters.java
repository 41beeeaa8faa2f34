package plumlever.placement;

/**
 * Placement settings.
 *
 * @param padding share added to run-time estimates when deadlines are checked
 * @param tieShare relative difference from the lowest score within which scores count as tied
 * @param rentalMarginMicros time that must remain when a task waits for other tasks to end, so that
 *     a machine can still be rented if they end late
 * @param spotRisk share by which the score of a spot machine is raised for a task without
 *     checkpoints
 */
public record PlacementParameters(
    double padding, double tieShare, long rentalMarginMicros, double spotRisk) {}
