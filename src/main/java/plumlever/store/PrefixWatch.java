package plumlever.store;

import java.util.List;
import java.util.function.LongSupplier;
import plumlever.concurrent.EventLoop;

/**
 * Watches all keys under a prefix until it is closed. If changes were missed, all keys are listed
 * again. The listener receives the keys as they were at some time after the request was sent; they
 * may have changed again before the response arrived. Used on one loop only.
 */
public final class PrefixWatch implements AutoCloseable {
  /** Receives the keys under the prefix and their changes. */
  public interface Listener {
    /**
     * Called with all keys under the prefix after changes were missed.
     *
     * @param sentMicros the time at which the listing was requested
     */
    void listed(StateClient.Listing listing, long sentMicros);

    /**
     * Called with all changes of keys under the prefix since the previous call of a method of this
     * listener.
     *
     * @param changes the changes; may be empty
     * @param sentMicros the time at which the watch request was sent
     */
    void changed(List<StateClient.KeyEvent> changes, long sentMicros);
  }

  private final EventLoop loop;
  private final StateClient store;
  private final String prefix;
  private final LongSupplier waitMicros;
  private final long retryMicros;
  private final Listener listener;
  private long storeRevision;
  private boolean closed;

  /**
   * Creates a watch that sends no request until it is started.
   *
   * @param waitMicros how long the state service may hold a watch request open
   * @param retryMicros the pause after a request that was refused or had no response
   */
  public PrefixWatch(
      EventLoop loop,
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

  /**
   * Starts the watch. The listener is told all changes made after this revision of the state
   * service.
   */
  public void watchFrom(long revision) {
    storeRevision = revision;
    watch();
  }

  private void watch() {
    if (closed) {
      return;
    }
    long sent = loop.nowMicros();
    store.watch(
        prefix,
        storeRevision,
        waitMicros.getAsLong(),
        response -> handleWatchResponse(response, sent));
  }

  private void handleWatchResponse(StateClient.WatchResponse response, long sentMicros) {
    if (closed) {
      return;
    }
    if (response.expired()) {
      relist();
    } else if (!response.succeeded()) {
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

  /** Stops the watch; the listener is not called any more. */
  @Override
  public void close() {
    closed = true;
  }
}
