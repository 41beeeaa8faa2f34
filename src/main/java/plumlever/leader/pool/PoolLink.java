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

/** Keeps the view of the pool's records up with the state service, by watching them. */
final class PoolLink {
  private static final long WATCH_MICROS = 2_000_000;
  private static final long RETRY_MICROS = 300_000;

  private final Logger log;
  private final PrefixWatch watch;
  private final PoolView view = new PoolView();
  private long knownMicros = Long.MIN_VALUE / 4;

  /**
   * @param changed runs when records have changed
   */
  PoolLink(TermContext context, Runnable changed) {
    this.log = context.logs().of(PoolLink.class);
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
                knownMicros = sentMicros;
                changed.run();
              }

              @Override
              public void changed(List<StateClient.KeyEvent> changes, long sentMicros) {
                knownMicros = sentMicros;
                changes.forEach(PoolLink.this::apply);
                if (!changes.isEmpty()) {
                  changed.run();
                }
              }
            });
  }

  PoolView view() {
    return view;
  }

  /** When the last read that was answered had been sent. */
  long knownMicros() {
    return knownMicros;
  }

  /** Takes in what was read after the term had been taken, and goes on watching. */
  void load(StateClient.Listing listing, long askedMicros) {
    applyListing(listing);
    knownMicros = askedMicros;
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
      throw new IllegalStateException("a drop can't be malformed", e);
    }
  }

  /** A record has changed, by this controller's own transaction or by another's. */
  void apply(StateClient.KeyEvent change) {
    try {
      view.apply(change.key(), change.value().orElse(null), change.revision());
    } catch (InvalidMessageException e) {
      // Nothing is guessed of it: the machine stays with whoever the records named before.
      log.error("{} can't be read and is left alone: {}", change.key(), e.getMessage());
    }
  }

  /**
   * A read has shown that there is no such record.
   *
   * @param revisionBefore what was known when the read was sent: a record stored since stays
   */
  void absent(String key, long revisionBefore) {
    try {
      view.absent(key, revisionBefore);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("a drop can't be malformed", e);
    }
  }

  void close() {
    watch.close();
  }
}
