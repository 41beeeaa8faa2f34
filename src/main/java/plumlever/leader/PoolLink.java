package plumlever.leader;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import plumlever.sharing.PoolView;
import plumlever.store.StateClient;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessage;

/** Keeps the view of the pool's records up with the state service, by following them. */
final class PoolLink {
  private static final long FOLLOW_MICROS = 2_000_000;
  private static final long RETRY_MICROS = 300_000;

  private final Logger log;
  private final Context context;
  private final Runnable changed;
  private final PoolView view = new PoolView();
  private long epoch;
  private long knownMicros = Long.MIN_VALUE / 4;
  private boolean closed;

  /**
   * @param changed runs when records have changed
   */
  PoolLink(Context context, Runnable changed) {
    this.context = context;
    this.log = context.logs().of(PoolLink.class);
    this.changed = changed;
  }

  PoolView view() {
    return view;
  }

  /** When the last read that was answered had been sent. */
  long knownMicros() {
    return knownMicros;
  }

  /** Takes in what was read after the term had been taken, and goes on following. */
  void load(StateClient.Listing listing, long askedMicros) {
    take(listing);
    knownMicros = askedMicros;
    follow();
  }

  private void take(StateClient.Listing listing) {
    List<String> keys = new ArrayList<>();
    for (StateClient.Item item : listing.items()) {
      keys.add(item.key());
      apply(new StateClient.Change(item.key(), item.data(), item.stamp()));
    }
    try {
      view.retain(keys, listing.epoch());
    } catch (InvalidMessage e) {
      throw new IllegalStateException("a drop can't be malformed", e);
    }
    epoch = listing.epoch();
  }

  /** A record has changed, by this controller's own transaction or by another's. */
  void apply(StateClient.Change change) {
    try {
      view.apply(change.key(), change.data(), change.stamp());
    } catch (InvalidMessage e) {
      // Nothing is guessed of it: the machine stays with whoever the records named before.
      log.error("{} can't be read and is left alone: {}", change.key(), e.getMessage());
    }
  }

  /**
   * A read has shown that there is no such record.
   *
   * @param stampBefore what was known when the read was sent: a record stored since stays
   */
  void absent(String key, long stampBefore) {
    try {
      view.absent(key, stampBefore);
    } catch (InvalidMessage e) {
      throw new IllegalStateException("a drop can't be malformed", e);
    }
  }

  private void follow() {
    if (closed) {
      return;
    }
    long sent = context.loop().nowMicros();
    context
        .store()
        .follow(
            PoolView.PREFIX,
            epoch,
            FOLLOW_MICROS,
            changes -> {
              if (closed) {
                return;
              }
              if (changes.status() == HttpStatus.GONE) {
                relist();
              } else if (changes.status() != HttpStatus.OK) {
                context.loop().after(RETRY_MICROS, this::follow);
              } else {
                epoch = Math.max(epoch, changes.epoch());
                knownMicros = sent;
                changes.log().forEach(this::apply);
                if (!changes.log().isEmpty()) {
                  changed.run();
                }
                follow();
              }
            });
  }

  private void relist() {
    long sent = context.loop().nowMicros();
    context
        .store()
        .list(
            PoolView.PREFIX,
            StateClient.Class.URGENT,
            listing -> {
              if (closed) {
                return;
              }
              if (listing == null) {
                context.loop().after(RETRY_MICROS, this::relist);
                return;
              }
              take(listing);
              knownMicros = sent;
              changed.run();
              follow();
            });
  }

  void close() {
    closed = true;
  }
}
