/** Short runs of the failure drills. */
package plumlever.drill;
