package plumlever.election;

import plumlever.concurrent.Loop;
import plumlever.store.StateClient;

/**
 * Reads the leadership records, then watches them until it is closed. Runs on the election's loop
 * only.
 */
final class LeadershipWatch implements AutoCloseable {
  /** How long one watch is left open. */
  static final long WAIT_MICROS = 5_000_000;

  /** Told on the election's loop of what was read. */
  interface Observer {
    /** True while this controller leads. */
    boolean leading();

    /** True while this controller has an attempt at the election under way. */
    boolean standing();

    /** The records have been read, or watched for a while. */
    void recordsRead();

    /** The leader could not be read anew. */
    void refreshFailed();
  }

  private final Loop loop;
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

  /** Reads all records, and watches from there on. */
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
          records.replaceBy(listing.get(), observer.leading());
          observer.recordsRead();
          watch();
        });
  }

  private void watch() {
    if (closed) {
      return;
    }
    store.watch(LeaderElection.PREFIX, records.storeRevision(), WAIT_MICROS, this::watched);
  }

  private void watched(StateClient.WatchResponse changes) {
    if (changes.expired()) {
      start();
    } else if (!changes.answered()) {
      // Refused or cut off: what is known grows old, so it is read anew before anything is built on
      // it.
      loop.after(backoff.beforeReadMicros(), this::start);
    } else {
      records.apply(changes, observer.leading());
      observer.recordsRead();
      watch();
    }
  }

  /** Reads who leads, beside the watch that goes on. */
  void refresh() {
    store.list(
        LeaderElection.PREFIX,
        StateClient.RequestPriority.URGENT,
        listing -> {
          if (listing.isEmpty()) {
            observer.refreshFailed();
          } else if (!observer.leading() && !observer.standing()) {
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
