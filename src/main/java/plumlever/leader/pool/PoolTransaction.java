package plumlever.leader.pool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import plumlever.sharing.PoolView;
import plumlever.store.Transaction;

/**
 * A transaction on records of the pool. Each record that it changes is guarded by the revision that
 * the view shows of it, so one that is carried out late can't undo a newer one.
 */
final class PoolTransaction {
  private final PoolView view;
  private final Transaction transaction;
  private final Set<String> required = new LinkedHashSet<>();
  private final Map<String, JsonNode> changes = new LinkedHashMap<>();

  /**
   * @param base preconditions leadership of whoever sends it
   */
  PoolTransaction(PoolView view, Transaction base) {
    this.view = view;
    this.transaction = base;
  }

  PoolTransaction require(String key) {
    if (required.add(key)) {
      transaction.require(key, view.revisionOf(key));
    }
    return this;
  }

  /** Guards a key that is not the pool's. */
  PoolTransaction require(String key, long revision) {
    transaction.require(key, revision);
    return this;
  }

  PoolTransaction put(String key, JsonNode data) {
    require(key);
    changes.put(key, data);
    transaction.put(key, data);
    return this;
  }

  PoolTransaction drop(String key) {
    require(key);
    changes.put(key, null);
    transaction.delete(key);
    return this;
  }

  /** What it changes; a dropped key has no value. */
  Map<String, JsonNode> changes() {
    return changes;
  }

  /** The keys of the pool that it rests on. */
  Set<String> required() {
    return required;
  }

  Transaction transaction() {
    return transaction;
  }
}
