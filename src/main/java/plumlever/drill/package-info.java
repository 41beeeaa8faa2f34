/**
 * The rehearsal kit: emulators for the state service, the cloud and workers over HTTP on loopback,
 * controllers as processes of their own, and drills that bring failures about and end with a clear
 * pass or fail.
 */
package plumlever.drill;
