/**
 * Which machine a task goes to: feasibility, score, ties, zone rules.
 *
 * <p>Pure: no I/O and no clock. It knows machines only as {@link
 * plumlever.placement.PlacementCandidate}s and tasks only as {@link
 * plumlever.placement.ResourceRequest}s; it must not know jobs, teams, quotas, or where its inputs
 * come from.
 */
package plumlever.placement;
