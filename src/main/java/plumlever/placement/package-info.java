/**
 * Task placement: feasibility, scoring, tie-breaking and zone constraints.
 *
 * <p>This package has no I/O and reads no clock. Machines are represented by {@link
 * plumlever.placement.PlacementCandidate}, tasks by {@link plumlever.placement.ResourceRequest}.
 * The package must not depend on jobs, teams, quotas or the source of its inputs.
 */
package plumlever.placement;
