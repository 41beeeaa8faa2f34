package plumlever.placement;

/**
 * Placement settings.
 *
 * @param runTimePadding fraction of the estimated run time that is added to it when deadlines are
 *     checked
 * @param tieTolerance relative difference from the lowest score up to which another score counts as
 *     equal
 * @param rentalMarginMicros time that must remain before the deadline when a task waits for other
 *     tasks to end, so that a machine can still be rented if they end late
 * @param spotRiskPremium fraction by which the score of a spot machine is raised for a task without
 *     checkpoints
 */
public record PlacementParameters(
    double runTimePadding, double tieTolerance, long rentalMarginMicros, double spotRiskPremium) {}
