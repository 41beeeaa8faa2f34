/**
 * JVM warm-up: a follower simulates terms of a leader of a small deployment in memory, so that the
 * JIT compiler has compiled the leader's code before the follower is elected.
 *
 * <p>The warm-up has no effect outside the process.
 */
package plumlever.warmup;
