package plumlever;

import plumlever.concurrent.EventLoop;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;

/**
 * Sends a small read to the state service if no request was served recently. An idle controller
 * sends few other requests and would otherwise not notice an outage.
 */
final class StateServiceProbe {
  private static final long INTERVAL_MICROS = 1_000_000;

  private final EventLoop loop;
  private final StateClient store;

  StateServiceProbe(EventLoop loop, StateClient store) {
    this.loop = loop;
    this.store = store;
  }

  /**
   * Probes the state service if necessary. Called as a recurring task; returns the pause until the
   * next probe in microseconds.
   */
  long run() {
    if (loop.nowMicros() - store.lastServedMicros() >= INTERVAL_MICROS / 2) {
      store.get(RecordLayout.CATALOG, StateClient.RequestPriority.URGENT, ignored -> {});
    }
    return INTERVAL_MICROS;
  }
}
