package plumlever.election;

import plumlever.concurrent.EventLoop;
import plumlever.store.StateClient;

/**
 * Reads the leadership records, then watches them until this object is closed. Used on the election
 * loop only.
 */
final class LeadershipWatch implements AutoCloseable {
  /** How long the state service may hold a watch request open. */
  static final long WATCH_TIMEOUT_MICROS = 5_000_000;

  /** Notified on the election loop when leadership records were read. */
  interface Observer {
    /** Returns true while this controller leads. */
    boolean leading();

    /** Returns true while this controller has an election attempt in progress. */
    boolean attemptInProgress();

    /** Called when the leadership records were read or a watch response for them was received. */
    void recordsRead();

    /** Called when {@link #refresh} could not read the leadership records. */
    void refreshFailed();
  }

  private final EventLoop loop;
  private final StateClient store;
  private final LeadershipRecords records;
  private final ElectionBackoff backoff;
  private final Observer observer;
  private boolean closed;

  LeadershipWatch(ElectionContext context, ElectionBackoff backoff, Observer observer) {
    this.loop = context.loop();
    this.store = context.store();
    this.records = context.records();
    this.backoff = backoff;
    this.observer = observer;
  }

  /**
   * Reads all leadership records and starts to watch them; repeats the read after a pause if it
   * fails.
   */
  void start() {
    if (closed) {
      return;
    }
    store.list(
        LeaderElection.PREFIX,
        StateClient.RequestPriority.URGENT,
        listing -> {
          if (listing.isEmpty()) {
            loop.after(backoff.beforeReadMicros(), this::start);
            return;
          }
          records.replaceWith(listing.get(), observer.leading());
          observer.recordsRead();
          watch();
        });
  }

  private void watch() {
    if (closed) {
      return;
    }
    store.watch(
        LeaderElection.PREFIX,
        records.storeRevision(),
        WATCH_TIMEOUT_MICROS,
        this::handleWatchResponse);
  }

  private void handleWatchResponse(StateClient.WatchResponse changes) {
    if (changes.expired()) {
      start();
    } else if (!changes.succeeded()) {
      // The watch was refused or had no response. The known leadership records may be stale, so
      // all of them are read again before any decision is based on them.
      loop.after(backoff.beforeReadMicros(), this::start);
    } else {
      records.apply(changes, observer.leading());
      observer.recordsRead();
      watch();
    }
  }

  /** Reads the leader and the term without interrupting the watch. */
  void refresh() {
    store.list(
        LeaderElection.PREFIX,
        StateClient.RequestPriority.URGENT,
        listing -> {
          if (listing.isEmpty()) {
            observer.refreshFailed();
          } else if (!observer.leading() && !observer.attemptInProgress()) {
            records.refreshLeader(listing.get());
            observer.recordsRead();
          }
        });
  }

  @Override
  public void close() {
    closed = true;
  }
}
