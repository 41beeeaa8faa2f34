package plumlever;

import plumlever.concurrent.EventLoop;
import plumlever.metrics.Metrics;

/**
 * Measures how late the controller loop runs. A tick is due at a fixed interval; its delay shows
 * whether the controller gets enough processor time.
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
   * Measures how late this tick runs. Called as a recurring task; returns the pause until the next
   * tick.
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
   * Returns how late the last tick of the controller loop ran, or how long the next tick is overdue
   * if that is more; 0 before the first tick. In microseconds.
   */
  long micros() {
    return nextTickDueMicros == 0
        ? 0
        : Math.max(lastTickLateMicros, loop.nowMicros() - nextTickDueMicros);
  }
}
