/**
 * A simulated deployment on simulated time: the service's own controllers among emulators of the
 * state service, the cloud, the workers and the users, with the protocol's rules checked as it
 * runs.
 */
package plumlever.sim;
