/**
 * JVM warm-up: a follower plays terms of a small deployment in memory, so that its code is compiled
 * before it leads.
 *
 * <p>Touches nothing outside the process.
 */
package plumlever.warmup;
