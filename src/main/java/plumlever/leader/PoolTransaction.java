package plumlever.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import plumlever.sharing.PoolView;
import plumlever.store.Txn;

/**
 * A transaction on records of the pool. Each record that it changes is guarded by the revision that
 * the view shows of it, so one that is carried out late can't undo a newer one.
 */
final class PoolTransaction {
  private final PoolView view;
  private final Txn txn;
  private final Set<String> guarded = new LinkedHashSet<>();
  private final Map<String, JsonNode> changes = new LinkedHashMap<>();

  /**
   * @param base guards the office of whoever sends it
   */
  PoolTransaction(PoolView view, Txn base) {
    this.view = view;
    this.txn = base;
  }

  PoolTransaction guard(String key) {
    if (guarded.add(key)) {
      txn.guard(key, view.revisionOf(key));
    }
    return this;
  }

  /** Guards a key that is not the pool's. */
  PoolTransaction guard(String key, long revision) {
    txn.guard(key, revision);
    return this;
  }

  PoolTransaction put(String key, JsonNode data) {
    guard(key);
    changes.put(key, data);
    txn.put(key, data);
    return this;
  }

  PoolTransaction drop(String key) {
    guard(key);
    changes.put(key, null);
    txn.drop(key);
    return this;
  }

  /** What it changes; a dropped key has no value. */
  Map<String, JsonNode> changes() {
    return changes;
  }

  /** The keys of the pool that it rests on. */
  Set<String> guarded() {
    return guarded;
  }

  Txn txn() {
    return txn;
  }
}
