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

    /** Called after the known leadership records were updated by a read or by a watch response. */
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
      // The watch was refused or had no response, so the known leadership records may be stale.
      // After a pause, all of them are read again and a new watch is started.
      loop.after(backoff.beforeReadMicros(), this::start);
    } else {
      records.apply(changes, observer.leading());
      observer.recordsRead();
      watch();
    }
  }

  /** Reads the records of the leader and the term once more, while the watch continues. */
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
