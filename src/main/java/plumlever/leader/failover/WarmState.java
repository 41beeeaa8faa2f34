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
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.store.Transaction;

/**
 * What the next leader would otherwise have to learn anew: which machines have which images, and
 * how far estimates are off. It is stored in as many values as a large fleet takes. It is advice
 * only: wrong or missing warm state costs time, and breaks no rule.
 */
public final class WarmState {
  private static final long INTERVAL_MICROS = 10_000_000;
  private static final int BACKLOG_SPEED_UP = 4;

  /** Changes in one transaction: submissions must not wait for these. */
  private static final int MAX_CHANGES = 2;

  private final TermContext context;
  private final WarmStateCodec codec;

  /** What is stored as far as that is known, by number; empty for values that were dropped. */
  private final Map<Integer, Optional<ObjectNode>> storedValues = new HashMap<>();

  /** Higher than the number of any value that may be stored. */
  private int storedCount;

  private int nextNumber;
  private boolean writing;

  /** Warm state of this term, to be loaded once and then written from time to time. */
  public WarmState(TermContext context, Fleet fleet, RunTimeEstimates estimates) {
    this.context = context;
    this.codec = new WarmStateCodec(fleet, estimates);
  }

  /** Takes over what the last leader stored; the machines must be in the fleet. */
  public void load(List<StateClient.Item> items) {
    for (StateClient.Item item : items) {
      codec.read(item.data());
      mayBeStored(JobStore.sharedRecordNumber(item.key()));
    }
  }

  private void mayBeStored(int number) {
    storedCount = Math.max(storedCount, number + 1);
  }

  /**
   * Writes some of what has changed, continuing where the last call stopped.
   *
   * @return microseconds until this should be called next
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

  /** Values that differ from what is stored, by number; empty for those to be dropped. */
  private Map<Integer, Optional<ObjectNode>> nextChanges() {
    List<ObjectNode> values = codec.write(context.layout().valueBytes());
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
          String key = JobStore.warmStateKey(number);
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
              changes.forEach((number, value) -> written(number, value, result.applied()));
            });
  }

  private void written(int number, Optional<ObjectNode> value, boolean applied) {
    mayBeStored(number);
    if (applied) {
      storedValues.put(number, value);
    } else {
      storedValues.remove(number);
    }
  }
}
