/**
 * Which machine a task goes to: feasibility, score, ties, zones.
 *
 * <p>Pure: no I/O, no clock, and no knowledge of where its inputs come from.
 */
package plumlever.placement;
