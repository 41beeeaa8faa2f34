package plumlever.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import plumlever.concurrent.Loop;
import plumlever.wire.HttpStatus;

/**
 * Stores the names that a job depends on where they do not fit its own record. They are cut up into
 * values that are named by their content, so a submission that is repeated goes on where the last
 * attempt stopped.
 *
 * <p>The first value is the <em>anchor</em> of the list. It is there before any other value is
 * counted as stored, each further value is written only while it is, and the job's record is
 * written only if it is still the same one ({@link JobStore.Acceptance#anchoredAt}). Whoever
 * removes a list that no job uses removes the anchor first ({@link JobStore#removeList}). So a
 * record never refers to a list of which a part is missing, however late transactions are carried
 * out.
 */
public final class DependencyLists {
  private static final long RETRY_MICROS = 150_000;

  /** Of the 64 KiB that a transaction may have. */
  private static final int MOST_TRANSACTION_BYTES = 48 * 1024;

  /** A user waits 5 s for an answer, and the next attempt goes on where this one stopped. */
  private static final long MOST_MICROS = 4_000_000;

  private final Loop loop;
  private final StateClient store;
  private final JobStore layout;

  /** Stores lists through this client, by this layout. */
  public DependencyLists(Loop loop, StateClient store, JobStore layout) {
    this.loop = loop;
    this.store = store;
    this.layout = layout;
  }

  /**
   * Stores all parts of the list.
   *
   * @param then takes the revision of the anchor once all parts are stored, or nothing when that
   *     can't be done now
   */
  public void store(JobStore.Acceptance acceptance, Consumer<OptionalLong> then) {
    new Writing(acceptance, then).look();
  }

  /** One attempt to store one list. */
  private final class Writing {
    private final String anchor;
    private final Map<String, ObjectNode> parts;
    private final Consumer<OptionalLong> then;
    private final long startedMicros = loop.nowMicros();

    Writing(JobStore.Acceptance acceptance, Consumer<OptionalLong> then) {
      this.anchor = acceptance.anchor();
      this.parts = acceptance.parts();
      this.then = then;
    }

    /** Finds out what is there, from the anchor on. */
    void look() {
      store.list(
          anchor.substring(0, anchor.lastIndexOf('/') + 1),
          StateClient.RequestPriority.ORDINARY,
          listing -> {
            if (listing == null) {
              giveUp();
              return;
            }
            Map<String, Long> stored = new HashMap<>();
            listing.items().forEach(item -> stored.put(item.key(), item.revision()));
            if (stored.containsKey(anchor)) {
              storeRest(stored);
            } else {
              storeAnchor();
            }
          });
    }

    /** What else is there is only counted once it was seen beside the anchor. */
    private void storeAnchor() {
      send(new Transaction().require(anchor, 0).put(anchor, parts.get(anchor)), this::look);
    }

    private void storeRest(Map<String, Long> stored) {
      List<String> missing = new ArrayList<>(parts.keySet());
      missing.removeAll(stored.keySet());
      if (missing.isEmpty()) {
        then.accept(OptionalLong.of(stored.get(anchor)));
        return;
      }
      Transaction transaction = new Transaction().require(anchor, stored.get(anchor));
      int most =
          Math.min(
              layout.limits().maxOperations(),
              Math.max(1, MOST_TRANSACTION_BYTES / layout.valueBytes()));
      List<String> sent = missing.subList(0, Math.min(most, missing.size()));
      sent.forEach(key -> transaction.require(key, 0).put(key, parts.get(key)));
      send(
          transaction,
          () -> {
            sent.forEach(key -> stored.put(key, 0L));
            storeRest(stored);
          });
    }

    private void send(Transaction transaction, Runnable applied) {
      store.transaction(
          transaction,
          StateClient.RequestPriority.ORDINARY,
          result -> {
            if (result.applied()) {
              applied.run();
            } else if (loop.nowMicros() - startedMicros > MOST_MICROS || isFinal(result)) {
              giveUp();
            } else {
              loop.after(RETRY_MICROS, this::look);
            }
          });
    }

    private boolean isFinal(Transaction.Result result) {
      return result.outcome() == Transaction.Outcome.REFUSED
          && result.status() != HttpStatus.TOO_MANY_REQUESTS;
    }

    private void giveUp() {
      then.accept(OptionalLong.empty());
    }
  }
}
