/**
 * Leader election, the term with its right to act, and delegated lease renewal.
 *
 * <p>This package owns the keys under {@code office/} in the state service, except that of the
 * delegation, which the leader writes. {@link plumlever.election.LeaderElection} and its components
 * run on the election loop; {@link plumlever.election.DelegatedRenewal} runs on the controller
 * loop. This package must not depend on jobs, machines, or the work of a leader during a term.
 */
package plumlever.election;
