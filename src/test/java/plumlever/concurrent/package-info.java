/** Loops of tests. */
package plumlever.concurrent;
