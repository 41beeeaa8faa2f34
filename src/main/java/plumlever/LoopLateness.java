package plumlever;

import plumlever.concurrent.EventLoop;
import plumlever.metrics.Metrics;

/**
 * Measures how late the controller loop runs. A timer is due at a fixed interval; how late it fires
 * shows whether the controller gets enough processor time.
 */
final class LoopLateness {
  private static final long TICK_INTERVAL_MICROS = 500_000;

  private final EventLoop loop;
  private final Metrics metrics;
  private long nextTickDueMicros;
  private long lastTickLateMicros;

  LoopLateness(EventLoop loop, Metrics metrics) {
    this.loop = loop;
    this.metrics = metrics;
  }

  /**
   * Records how late this run of the recurring task is; returns the pause until the next run, in
   * microseconds.
   */
  long tick() {
    long now = loop.nowMicros();
    if (nextTickDueMicros > 0) {
      lastTickLateMicros = now - nextTickDueMicros;
      metrics.recordDuration("late", lastTickLateMicros);
    }
    nextTickDueMicros = now + TICK_INTERVAL_MICROS;
    return TICK_INTERVAL_MICROS;
  }

  /**
   * Returns how late the controller loop runs, in microseconds: how late the last tick ran or how
   * long the next one is overdue, whichever is more; 0 before the first tick.
   */
  long micros() {
    return nextTickDueMicros == 0
        ? 0
        : Math.max(lastTickLateMicros, loop.nowMicros() - nextTickDueMicros);
  }
}
