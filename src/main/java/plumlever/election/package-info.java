/**
 * Leader election, the term with its right to act, and delegated lease renewal.
 *
 * <p>Knows nothing of jobs and machines.
 */
package plumlever.election;
