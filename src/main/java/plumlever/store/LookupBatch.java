package plumlever.store;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import plumlever.concurrent.EventLoop;

/**
 * Collects lookups for a short time so that a single request to the state service serves all of
 * them.
 *
 * @param <L> the type of a lookup
 */
final class LookupBatch<L> {
  private static final long COLLECTION_WINDOW_MICROS = 25_000;

  private final EventLoop loop;
  private final IntSupplier maxSize;
  private final Consumer<List<L>> sendBatch;
  private List<L> collected = new ArrayList<>();

  /**
   * @param maxSize the number of collected lookups at which the request is sent without waiting
   *     longer
   * @param sendBatch sends one request for the collected lookups; called with at least one lookup
   */
  LookupBatch(EventLoop loop, IntSupplier maxSize, Consumer<List<L>> sendBatch) {
    this.loop = loop;
    this.maxSize = maxSize;
    this.sendBatch = sendBatch;
  }

  void add(L lookup) {
    collected.add(lookup);
    if (collected.size() == 1) {
      loop.after(COLLECTION_WINDOW_MICROS, this::send);
    } else if (collected.size() >= maxSize.getAsInt()) {
      send();
    }
  }

  private void send() {
    if (collected.isEmpty()) {
      return;
    }
    List<L> batch = collected;
    collected = new ArrayList<>();
    sendBatch.accept(batch);
  }
}
