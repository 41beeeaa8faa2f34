/** Tests of task placement. No I/O other than loopback. */
package plumlever.placement;
