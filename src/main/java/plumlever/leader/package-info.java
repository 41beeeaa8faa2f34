/**
 * Runs one term of the leader: creates, starts and closes the components of the term, decides when
 * scheduling passes run and when tokens are raised, and handles heartbeats from the first check to
 * the response.
 *
 * <p>The decisions of each component are made in the component's own subpackage. This package
 * accesses the sharing of machines with other shards only through {@code MachineSharing}.
 */
package plumlever.leader;
