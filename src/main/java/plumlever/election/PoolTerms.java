package plumlever.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.store.KeySpace;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.Json;

/**
 * Terms out of the counter that all shards of a pool share, so that the commands of two shards are
 * ordered on a machine and attempt numbers are unique in the pool. Taking a term raises the counter
 * in the same transaction, and tells the other shards who leads.
 */
public final class PoolTerms {
  /**
   * Stands in the root of the state service while it holds a pool: a controller without a sharing
   * file must not lead beside its shards.
   */
  static final String MARKER = LeaderElection.PREFIX + "pool";

  private static final String ABSOLUTE_MARKER = KeySpace.absolute("", MARKER);
  private static final String LABEL = "label";
  private static final String TERM = "term";

  /**
   * The next term of a shard.
   *
   * @param counterRevision of the pool's counter that it follows from; 0 if there is no counter yet
   */
  record Next(long term, long counterRevision) {}

  private final StateClient store;
  private final String counterKey;
  private final String leaderKey;

  /**
   * Terms of one shard of a pool.
   *
   * @param counterKey of the pool
   * @param leaderKey where the pool is told who leads this shard
   */
  public PoolTerms(StateClient store, String counterKey, String leaderKey) {
    this.store = store;
    this.counterKey = counterKey;
    this.leaderKey = leaderKey;
  }

  /**
   * Finds the next term above all that the pool has counted.
   *
   * @param last the last known term of this shard
   * @param handler takes the next one, or nothing when the counter can't be read
   */
  void findNext(long last, Consumer<Optional<Next>> handler) {
    store.get(
        counterKey,
        StateClient.RequestPriority.URGENT,
        result -> {
          if (result.found()) {
            long counted = TermRecord.read(result.item().data()).number();
            handler.accept(
                Optional.of(new Next(Math.max(last, counted) + 1, result.item().revision())));
          } else if (result.missing()) {
            handler.accept(Optional.of(new Next(last + 1, 0)));
          } else {
            handler.accept(Optional.empty());
          }
        });
  }

  /** Adds to the transaction that takes the term what the pool is told of it. */
  Transaction addTo(Transaction transaction, Next next, String label, long leaseId) {
    ObjectNode leader = Json.object().put(LABEL, label).put(TERM, next.term());
    transaction
        .require(counterKey, next.counterRevision())
        .put(counterKey, new TermRecord(next.term()).write())
        .put(leaderKey, leader, leaseId);
    return next.counterRevision() == 0
        ? transaction.put(ABSOLUTE_MARKER, Json.object().put("pool", true))
        : transaction;
  }
}
