package plumlever.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.Json;

/**
 * Terms out of the counter that all cells of a pool share, so that the commands of two cells are
 * ordered on a machine and attempt numbers are unique in the pool. Taking a term raises the counter
 * in the same transaction, and tells the other cells who leads.
 */
public final class PoolTerms {
  /**
   * Stands in the root of the state service while it holds a pool: a controller without a sharing
   * file must not lead beside its cells.
   */
  static final String MARKER = LeaderElection.PREFIX + "pool";

  private static final String ABSOLUTE_MARKER = "/" + MARKER;
  private static final String TERM = "term";

  /** The next term, and what its transaction holds besides. */
  record Next(long term, long counterRevision) {}

  private final StateClient store;
  private final String counterKey;
  private final String leaderKey;

  /**
   * @param counterKey of the pool
   * @param leaderKey where the pool is told who leads this cell
   */
  public PoolTerms(StateClient store, String counterKey, String leaderKey) {
    this.store = store;
    this.counterKey = counterKey;
    this.leaderKey = leaderKey;
  }

  /** Finds the next term above the last one of this cell; nothing when that can't be read. */
  void next(long last, Consumer<Optional<Next>> then) {
    store.get(
        counterKey,
        StateClient.RequestPriority.URGENT,
        got -> {
          if (got.found()) {
            long counted = got.item().data().path(TERM).asLong();
            then.accept(Optional.of(new Next(Math.max(last, counted) + 1, got.item().revision())));
          } else if (got.missing()) {
            then.accept(Optional.of(new Next(last + 1, 0)));
          } else {
            then.accept(Optional.empty());
          }
        });
  }

  /** What the transaction holds that takes the term. */
  Transaction addTo(Transaction transaction, Next next, String label, long leaseId) {
    ObjectNode counter = Json.object().put(TERM, next.term());
    ObjectNode leader = Json.object().put("label", label).put(TERM, next.term());
    transaction
        .require(counterKey, next.counterRevision())
        .put(counterKey, counter)
        .put(leaderKey, leader, leaseId);
    return next.counterRevision() == 0
        ? transaction.put(ABSOLUTE_MARKER, Json.object().put("pool", true))
        : transaction;
  }
}
