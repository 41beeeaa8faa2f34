package plumlever.leader.pool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import plumlever.sharing.PoolView;
import plumlever.store.Transaction;

/**
 * A transaction on records of the pool. It is applied only if each record that it changes still has
 * the revision known to this leader, so a delayed transaction cannot overwrite a newer change.
 */
final class PoolTransaction {
  private final PoolView view;
  private final Transaction transaction;
  private final Set<String> requiredKeys = new LinkedHashSet<>();
  private final Map<String, JsonNode> changedValues = new LinkedHashMap<>();

  /**
   * @param base transaction that already requires the sender's leadership
   */
  PoolTransaction(PoolView view, Transaction base) {
    this.view = view;
    this.transaction = base;
  }

  PoolTransaction require(String key) {
    if (requiredKeys.add(key)) {
      transaction.require(key, view.revisionOf(key));
    }
    return this;
  }

  /** Adds a precondition on the revision of a key that is not a pool record. */
  PoolTransaction require(String key, long revision) {
    transaction.require(key, revision);
    return this;
  }

  PoolTransaction put(String key, JsonNode data) {
    require(key);
    changedValues.put(key, data);
    transaction.put(key, data);
    return this;
  }

  PoolTransaction delete(String key) {
    require(key);
    changedValues.put(key, null);
    transaction.delete(key);
    return this;
  }

  /** Returns the records that the transaction stores, by key; null for a key that it deletes. */
  Map<String, JsonNode> changedValues() {
    return changedValues;
  }

  /** Returns the keys of the pool's records on which this transaction has a precondition. */
  Set<String> requiredKeys() {
    return requiredKeys;
  }

  Transaction transaction() {
    return transaction;
  }
}
