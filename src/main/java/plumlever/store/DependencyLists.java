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
 * Stores the list of jobs that a job depends on where it does not fit the job's own record. Lists
 * are cut up into values that are named by their content, so a submission that is repeated goes on
 * where the last attempt stopped.
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
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /** A user waits 5 s for an answer, and the next attempt goes on where this one stopped. */
  private static final long MAX_ATTEMPT_MICROS = 4_000_000;

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
   * @param handler takes the revision of the anchor once all parts are stored, or nothing when that
   *     can't be done now
   */
  public void store(JobStore.Acceptance acceptance, Consumer<OptionalLong> handler) {
    new Attempt(acceptance, handler).readStored();
  }

  /** One attempt to store one list. */
  private final class Attempt {
    private final String anchor;
    private final Map<String, ObjectNode> parts;
    private final Consumer<OptionalLong> handler;
    private final long startedMicros = loop.nowMicros();

    Attempt(JobStore.Acceptance acceptance, Consumer<OptionalLong> handler) {
      this.anchor = acceptance.anchor();
      this.parts = acceptance.parts();
      this.handler = handler;
    }

    /** Finds out which parts are stored, and stores the next ones. */
    void readStored() {
      store.list(
          DependencyListRecords.prefixOfPart(anchor),
          StateClient.RequestPriority.ORDINARY,
          listing -> {
            if (listing.isEmpty()) {
              giveUp();
              return;
            }
            Map<String, Long> stored = new HashMap<>();
            listing.get().items().forEach(item -> stored.put(item.key(), item.revision()));
            if (stored.containsKey(anchor)) {
              storeRest(stored);
            } else {
              storeAnchor();
            }
          });
    }

    /** Other parts only count as stored once they were seen beside the anchor: reads them again. */
    private void storeAnchor() {
      send(new Transaction().require(anchor, 0).put(anchor, parts.get(anchor)), this::readStored);
    }

    private void storeRest(Map<String, Long> stored) {
      List<String> missing = new ArrayList<>(parts.keySet());
      missing.removeAll(stored.keySet());
      if (missing.isEmpty()) {
        handler.accept(OptionalLong.of(stored.get(anchor)));
        return;
      }
      List<String> sent = missing.subList(0, Math.min(maxPartsPerTransaction(), missing.size()));
      Transaction transaction = new Transaction().require(anchor, stored.get(anchor));
      sent.forEach(key -> transaction.require(key, 0).put(key, parts.get(key)));
      send(
          transaction,
          () -> {
            sent.forEach(key -> stored.put(key, 0L));
            storeRest(stored);
          });
    }

    private int maxPartsPerTransaction() {
      return Math.min(
          layout.limits().maxOperations(),
          Math.max(1, MAX_TRANSACTION_BYTES / layout.valueBytes()));
    }

    private void send(Transaction transaction, Runnable applied) {
      store.transaction(
          transaction,
          StateClient.RequestPriority.ORDINARY,
          result -> {
            if (result.applied()) {
              applied.run();
            } else if (loop.nowMicros() - startedMicros > MAX_ATTEMPT_MICROS
                || isRefusedForGood(result)) {
              giveUp();
            } else {
              loop.after(RETRY_MICROS, this::readStored);
            }
          });
    }

    private static boolean isRefusedForGood(Transaction.Result result) {
      return result.outcome() == Transaction.Outcome.REFUSED
          && result.status() != HttpStatus.TOO_MANY_REQUESTS;
    }

    private void giveUp() {
      handler.accept(OptionalLong.empty());
    }
  }
}
