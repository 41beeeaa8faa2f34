package plumlever.leader.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import plumlever.leader.context.TermContext;
import plumlever.sharing.PoolView;
import plumlever.store.PrefixWatch;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessageException;

/** Keeps the view of the pool's records up to date with a watch on the state service. */
final class PoolRecordWatch {
  private static final long WATCH_MICROS = 2_000_000;
  private static final long RETRY_MICROS = 300_000;

  private final Logger log;
  private final PrefixWatch watch;
  private final PoolView view = new PoolView();
  private long lastReadMicros = Long.MIN_VALUE / 4;

  /**
   * @param changed runs after records of the pool have changed
   */
  PoolRecordWatch(TermContext context, Runnable changed) {
    this.log = context.loggerProvider().of(PoolRecordWatch.class);
    this.watch =
        new PrefixWatch(
            context.loop(),
            context.store(),
            PoolView.PREFIX,
            () -> WATCH_MICROS,
            RETRY_MICROS,
            new PrefixWatch.Listener() {
              @Override
              public void listed(StateClient.Listing listing, long sentMicros) {
                applyListing(listing);
                lastReadMicros = sentMicros;
                changed.run();
              }

              @Override
              public void changed(List<StateClient.KeyEvent> changes, long sentMicros) {
                lastReadMicros = sentMicros;
                changes.forEach(PoolRecordWatch.this::apply);
                if (!changes.isEmpty()) {
                  changed.run();
                }
              }
            });
  }

  PoolView view() {
    return view;
  }

  /**
   * Returns the time at which the latest answered read of the pool's records was sent. The view of
   * the records is at least that recent.
   */
  long lastReadMicros() {
    return lastReadMicros;
  }

  /**
   * Loads the pool's records that were read at the start of the term, and starts to watch for later
   * changes.
   *
   * @param sentMicros time at which the read was sent
   */
  void load(StateClient.Listing listing, long sentMicros) {
    applyListing(listing);
    lastReadMicros = sentMicros;
    watch.watchFrom(listing.storeRevision());
  }

  private void applyListing(StateClient.Listing listing) {
    List<String> keys = new ArrayList<>();
    for (StateClient.Item item : listing.items()) {
      keys.add(item.key());
      apply(new StateClient.KeyEvent(item.key(), Optional.of(item.data()), item.revision()));
    }
    try {
      view.retain(keys, listing.storeRevision());
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("deletions of pool records carry no value to parse", e);
    }
  }

  /** Applies a change of a pool record, made by this or another controller, to the view. */
  void apply(StateClient.KeyEvent change) {
    try {
      view.apply(change.key(), change.value().orElse(null), change.revision());
    } catch (InvalidMessageException e) {
      // The view keeps the previous content of the record, so no machine changes its owner.
      log.error("unreadable pool record {}, ignoring the change: {}", change.key(), e.getMessage());
    }
  }

  /**
   * Removes the record from the view after a read found no record under the key.
   *
   * @param revisionBefore known revision of the key when the read was sent; a record with a later
   *     revision is kept
   */
  void markAbsent(String key, long revisionBefore) {
    try {
      view.markAbsent(key, revisionBefore);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("deletions of pool records carry no value to parse", e);
    }
  }

  void close() {
    watch.close();
  }
}
