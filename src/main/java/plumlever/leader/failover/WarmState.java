package plumlever.leader.failover;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import plumlever.fleet.Fleet;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.TermContext;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * Stores the warm state of a term: data that the next leader would otherwise have to learn again:
 * the images cached on each machine, and the observed error of run-time estimates. For a large
 * fleet, the data is split into several numbered records. The data is advisory only: wrong or
 * missing warm state costs time but causes no violation.
 */
public final class WarmState {
  private static final long INTERVAL_MICROS = 10_000_000;

  /**
   * The interval between writes of warm state is divided by this factor after a write that filled a
   * transaction, because more changed records may be waiting.
   */
  private static final int BACKLOG_SPEED_UP = 4;

  /**
   * Maximum number of changed warm-state records per transaction. Larger transactions would delay
   * the submission of jobs.
   */
  private static final int MAX_CHANGES = 2;

  private final TermContext context;
  private final WarmStateCodec codec;

  /**
   * The last known contents of the stored warm-state records by record number; empty for deleted
   * records.
   */
  private final Map<Integer, Optional<ObjectNode>> storedValues = new HashMap<>();

  /** Upper bound (exclusive) of the numbers of the warm-state records that may be stored. */
  private int storedCount;

  private int nextNumber;
  private boolean writing;

  /** Creates the warm state of one term. The state is loaded once and then written periodically. */
  public WarmState(TermContext context, Fleet fleet, RunTimeEstimates estimates) {
    this.context = context;
    this.codec = new WarmStateCodec(fleet, estimates);
  }

  /**
   * Applies the image caches and run-time estimates that earlier leaders stored. The machines must
   * already be in the fleet.
   */
  public void load(List<StateClient.Item> items) {
    for (StateClient.Item item : items) {
      codec.read(item.data());
      raiseStoredCount(RecordLayout.sharedRecordNumber(item.key()));
    }
  }

  private void raiseStoredCount(int number) {
    storedCount = Math.max(storedCount, number + 1);
  }

  /**
   * Writes some of the warm-state records whose contents have changed; the next call continues with
   * the record numbers that follow.
   *
   * @return microseconds until the next call
   */
  public long write() {
    if (writing) {
      return INTERVAL_MICROS;
    }
    Map<Integer, Optional<ObjectNode>> changes = nextChanges();
    if (!changes.isEmpty()) {
      send(changes);
    }
    return changes.size() == MAX_CHANGES ? INTERVAL_MICROS / BACKLOG_SPEED_UP : INTERVAL_MICROS;
  }

  /**
   * Returns the new contents of up to {@link #MAX_CHANGES} warm-state records that differ from the
   * stored records, by record number; empty contents for a record to be deleted. Each call
   * continues after the last record that the previous call compared.
   */
  private Map<Integer, Optional<ObjectNode>> nextChanges() {
    List<ObjectNode> values = codec.write(context.recordLayout().maxValueBytes());
    int count = Math.max(values.size(), storedCount);
    Map<Integer, Optional<ObjectNode>> changes = new LinkedHashMap<>();
    for (int n = 0; n < count && changes.size() < MAX_CHANGES; n++) {
      int number = nextNumber++ % count;
      Optional<ObjectNode> value =
          number < values.size() ? Optional.of(values.get(number)) : Optional.empty();
      if (!value.equals(storedValues.get(number))) {
        changes.put(number, value);
      }
    }
    nextNumber %= count;
    return changes;
  }

  private void send(Map<Integer, Optional<ObjectNode>> changes) {
    Transaction transaction = context.term().requireTerm();
    changes.forEach(
        (number, value) -> {
          String key = RecordLayout.warmStateKey(number);
          value.ifPresentOrElse(
              present -> transaction.put(key, present), () -> transaction.delete(key));
        });
    writing = true;
    context
        .store()
        .transaction(
            transaction,
            StateClient.RequestPriority.ORDINARY,
            result -> {
              writing = false;
              changes.forEach(
                  (number, value) -> updateStoredValue(number, value, result.applied()));
            });
  }

  private void updateStoredValue(int number, Optional<ObjectNode> value, boolean applied) {
    raiseStoredCount(number);
    if (applied) {
      storedValues.put(number, value);
    } else {
      storedValues.remove(number);
    }
  }
}
