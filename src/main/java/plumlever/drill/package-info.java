/**
 * Failure drills: controllers in separate processes run against emulators of the state service, the
 * cloud and the workers over loopback HTTP. A drill injects failures and ends with pass or fail.
 */
package plumlever.drill;
