package plumlever;

import plumlever.concurrent.Loop;
import plumlever.metrics.Metrics;

/**
 * How late the deciding thread is. A tick is due at a fixed interval; how late it comes tells
 * whether the processor's share is enough.
 */
final class LoopLateness {
  private static final long TICK_INTERVAL_MICROS = 500_000;

  private final Loop loop;
  private final Metrics metrics;
  private long nextTickDueMicros;
  private long lastTickLateMicros;

  LoopLateness(Loop loop, Metrics metrics) {
    this.loop = loop;
    this.metrics = metrics;
  }

  /** Runs as a recurring task; returns the pause until the next tick. */
  long tick() {
    long now = loop.nowMicros();
    if (nextTickDueMicros > 0) {
      lastTickLateMicros = now - nextTickDueMicros;
      metrics.recordDuration("late", lastTickLateMicros);
    }
    nextTickDueMicros = now + TICK_INTERVAL_MICROS;
    return TICK_INTERVAL_MICROS;
  }

  /** How late the last tick was, or the next one already is; 0 before the first. */
  long micros() {
    return nextTickDueMicros == 0
        ? 0
        : Math.max(lastTickLateMicros, loop.nowMicros() - nextTickDueMicros);
  }
}
