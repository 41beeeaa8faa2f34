package plumlever.store;

import java.util.List;
import java.util.function.LongSupplier;
import plumlever.concurrent.Loop;

/**
 * Watches all keys under a prefix until it is closed. Where changes were missed, everything is read
 * anew. What is told counts from when its request was <em>sent</em>. Belongs to one loop.
 */
public final class PrefixWatch implements AutoCloseable {
  /** Told of everything under the prefix. */
  public interface Listener {
    /**
     * Changes were missed: this is all there is now.
     *
     * @param sentMicros when the request was sent
     */
    void listed(StateClient.Listing listing, long sentMicros);

    /**
     * Nothing else has changed.
     *
     * @param changes may be empty
     * @param sentMicros when the request was sent
     */
    void changed(List<StateClient.KeyEvent> changes, long sentMicros);
  }

  private final Loop loop;
  private final StateClient store;
  private final String prefix;
  private final LongSupplier waitMicros;
  private final long retryMicros;
  private final Listener listener;
  private long storeRevision;
  private boolean closed;

  /**
   * A watch that is not begun yet.
   *
   * @param waitMicros how long a watch may be left open
   * @param retryMicros pause after a request that was refused or had no answer
   */
  public PrefixWatch(
      Loop loop,
      StateClient store,
      String prefix,
      LongSupplier waitMicros,
      long retryMicros,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
    this.waitMicros = waitMicros;
    this.retryMicros = retryMicros;
    this.listener = listener;
  }

  /** Tells of what changes after that revision. */
  public void watchFrom(long revision) {
    storeRevision = revision;
    watch();
  }

  private void watch() {
    if (closed) {
      return;
    }
    long sent = loop.nowMicros();
    store.watch(prefix, storeRevision, waitMicros.getAsLong(), response -> watched(response, sent));
  }

  private void watched(StateClient.WatchResponse response, long sentMicros) {
    if (closed) {
      return;
    }
    if (response.expired()) {
      relist();
    } else if (!response.answered()) {
      loop.after(retryMicros, this::watch);
    } else {
      storeRevision = Math.max(storeRevision, response.storeRevision());
      listener.changed(response.events(), sentMicros);
      watch();
    }
  }

  private void relist() {
    if (closed) {
      return;
    }
    long sent = loop.nowMicros();
    store.list(
        prefix,
        StateClient.RequestPriority.URGENT,
        listing -> {
          if (closed) {
            return;
          }
          if (listing.isEmpty()) {
            loop.after(retryMicros, this::relist);
            return;
          }
          storeRevision = listing.get().storeRevision();
          listener.listed(listing.get(), sent);
          watch();
        });
  }

  /** Nothing is told from here on. */
  @Override
  public void close() {
    closed = true;
  }
}
