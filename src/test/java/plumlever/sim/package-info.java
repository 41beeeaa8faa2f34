/**
 * A simulated deployment on simulated time: the real controllers of the service with emulators of
 * the state service, the cloud, the workers and the users. The protocol's rules are checked during
 * each run.
 */
package plumlever.sim;
