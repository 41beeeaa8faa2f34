/**
 * Leader election, the term with its right to act, and delegated lease renewal.
 *
 * <p>Owns the keys under {@code office/} of the state service, but for the delegation's, which the
 * leader writes. {@link plumlever.election.LeaderElection} and its parts run on a loop of their
 * own; {@link plumlever.election.DelegatedRenewal} belongs to the controller's. Knows nothing of
 * jobs and machines, nor of what a leader does in its term.
 */
package plumlever.election;
