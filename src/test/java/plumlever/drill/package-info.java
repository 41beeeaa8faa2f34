/** Short forms of the drills. */
package plumlever.drill;
