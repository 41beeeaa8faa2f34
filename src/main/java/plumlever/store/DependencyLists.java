package plumlever.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import plumlever.concurrent.EventLoop;
import plumlever.wire.HttpStatus;

/**
 * Stores dependency lists that do not fit the active record of their job. A dependency list is
 * split into parts, each stored under a key of its own. The keys contain a digest of the list, so a
 * repeated submission resumes where the previous attempt stopped.
 *
 * <p>The first part is the <em>anchor</em> of the list. A part counts as stored only if it was read
 * together with the anchor. Every further part is written on the condition that the anchor exists.
 * The active record is written on the condition that the anchor is unchanged ({@link
 * RecordLayout.Acceptance#requireAnchor}). The removal of an unused list deletes the anchor before
 * the other parts ({@link RecordLayout#removeDependencyList}). An active record therefore never
 * refers to an incomplete list, however late transactions are applied.
 */
public final class DependencyLists {
  /**
   * Delay before a dependency list is read again if a transaction storing parts of the list has
   * failed.
   */
  private static final long RETRY_MICROS = 150_000;

  /**
   * The maximum total size of the dependency list parts that one transaction stores. The state
   * service accepts transactions of up to 64 KiB; the remaining 16 KiB are for keys and JSON.
   */
  private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

  /**
   * Failed writes of a dependency list are retried for at most this long after the first attempt
   * began. The user's request times out after 5 s, and a repeated submission stores only the
   * missing parts.
   */
  private static final long MAX_ATTEMPT_MICROS = 4_000_000;

  private final EventLoop loop;
  private final StateClient store;
  private final RecordLayout recordLayout;

  /** Creates a writer that uses the given client and record layout. */
  public DependencyLists(EventLoop loop, StateClient store, RecordLayout recordLayout) {
    this.loop = loop;
    this.store = store;
    this.recordLayout = recordLayout;
  }

  /**
   * Stores all parts of the dependency list of a job that is being accepted.
   *
   * @param handler receives the revision of the anchor (first part) once all parts are stored, or
   *     an empty value if the list could not be stored
   */
  public void store(RecordLayout.Acceptance acceptance, Consumer<OptionalLong> handler) {
    new Attempt(acceptance, handler).readStored();
  }

  /** One attempt to store the dependency list of one job. */
  private final class Attempt {
    private final String anchor;
    private final Map<String, ObjectNode> parts;
    private final Consumer<OptionalLong> handler;
    private final long startedMicros = loop.nowMicros();

    Attempt(RecordLayout.Acceptance acceptance, Consumer<OptionalLong> handler) {
      this.anchor = acceptance.anchor();
      this.parts = acceptance.parts();
      this.handler = handler;
    }

    /** Reads which parts of the dependency list are stored, then stores missing parts. */
    void readStored() {
      store.list(
          DependencyListRecords.prefixOfPart(anchor),
          StateClient.RequestPriority.ORDINARY,
          listing -> {
            if (listing.isEmpty()) {
              fail();
              return;
            }
            Map<String, Long> stored = new HashMap<>();
            listing.get().items().forEach(item -> stored.put(item.key(), item.revision()));
            if (stored.containsKey(anchor)) {
              storeRemainingParts(stored);
            } else {
              storeAnchor();
            }
          });
    }

    /**
     * Stores the anchor (first part) of the dependency list, then reads the list again, because
     * other parts count as stored only if they were read together with the anchor.
     */
    private void storeAnchor() {
      send(new Transaction().require(anchor, 0).put(anchor, parts.get(anchor)), this::readStored);
    }

    private void storeRemainingParts(Map<String, Long> stored) {
      List<String> missing = new ArrayList<>(parts.keySet());
      missing.removeAll(stored.keySet());
      if (missing.isEmpty()) {
        handler.accept(OptionalLong.of(stored.get(anchor)));
        return;
      }
      List<String> batch = missing.subList(0, Math.min(maxPartsPerTransaction(), missing.size()));
      Transaction transaction = new Transaction().require(anchor, stored.get(anchor));
      batch.forEach(key -> transaction.require(key, 0).put(key, parts.get(key)));
      send(
          transaction,
          () -> {
            // Later transactions require only the revision of the anchor, so the revisions of the
            // other parts are recorded as 0.
            batch.forEach(key -> stored.put(key, 0L));
            storeRemainingParts(stored);
          });
    }

    private int maxPartsPerTransaction() {
      return Math.min(
          recordLayout.limits().maxOperations(),
          Math.max(1, MAX_TRANSACTION_BYTES / recordLayout.maxValueBytes()));
    }

    private void send(Transaction transaction, Runnable applied) {
      store.transaction(
          transaction,
          StateClient.RequestPriority.ORDINARY,
          result -> {
            if (result.applied()) {
              applied.run();
            } else if (loop.nowMicros() - startedMicros > MAX_ATTEMPT_MICROS
                || isPermanentlyRefused(result)) {
              fail();
            } else {
              loop.after(RETRY_MICROS, this::readStored);
            }
          });
    }

    private static boolean isPermanentlyRefused(Transaction.Result result) {
      return result.outcome() == Transaction.Outcome.REFUSED
          && result.status() != HttpStatus.TOO_MANY_REQUESTS;
    }

    private void fail() {
      handler.accept(OptionalLong.empty());
    }
  }
}
