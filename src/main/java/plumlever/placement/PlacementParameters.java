package plumlever.placement;

/**
 * What an operator may set of placement.
 *
 * @param padding share added to run-time estimates when a deadline is checked
 * @param tieShare scores this close to the least are a tie
 * @param hedgeMicros the time that must be left when a task waits for others to end, so that a
 *     machine could still be rented for it
 * @param spotRisk share by which a spot machine seems dearer to a task that would lose its work
 *     with it
 */
public record PlacementParameters(
    double padding, double tieShare, long hedgeMicros, double spotRisk) {}
