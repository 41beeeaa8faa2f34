package plumlever;

import plumlever.concurrent.Loop;
import plumlever.store.JobStore;
import plumlever.store.StateClient;

/**
 * Asks the state service something small while nothing else is answered, so that its silence is
 * noticed by a controller that has no other reason to ask.
 */
final class StateServiceProbe {
  private static final long INTERVAL_MICROS = 1_000_000;

  private final Loop loop;
  private final StateClient store;

  StateServiceProbe(Loop loop, StateClient store) {
    this.loop = loop;
    this.store = store;
  }

  /** Runs as a recurring task; returns the pause until the next probe. */
  long run() {
    if (loop.nowMicros() - store.lastServedMicros() >= INTERVAL_MICROS / 2) {
      store.get(JobStore.CATALOG, StateClient.RequestPriority.URGENT, ignored -> {});
    }
    return INTERVAL_MICROS;
  }
}
