package plumlever.placement;

/**
 * Placement settings.
 *
 * @param runTimePadding share added to run-time estimates when deadlines are checked
 * @param tieTolerance relative difference from the lowest score within which scores count as tied
 * @param rentalMarginMicros time that must remain when a task waits for other tasks to end, so that
 *     a machine can still be rented if they end late
 * @param spotRiskPremium share by which the score of a spot machine is raised for a task without
 *     checkpoints
 */
public record PlacementParameters(
    double runTimePadding, double tieTolerance, long rentalMarginMicros, double spotRiskPremium) {}
