package plumlever.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.store.KeySpace;
import plumlever.store.StateClient;
import plumlever.store.Transaction;
import plumlever.wire.Json;

/**
 * Assigns terms from a counter that all shards of a pool share, so that no two leaders in the pool
 * have the same term. The terms order the commands that two shards send to the same machine, and
 * make attempt numbers unique in the pool. The transaction of an election also increments the
 * counter and publishes the leader to the other shards.
 */
public final class PoolTerms {
  /**
   * The key of the marker of a pool of shards, stored at the root, outside the prefixes of the
   * shards. A controller without sharing settings that finds this key must not become leader,
   * because it would act alongside the leaders of the shards.
   */
  static final String MARKER = LeaderElection.PREFIX + "pool";

  private static final String ABSOLUTE_MARKER = KeySpace.absolute("", MARKER);
  private static final String LABEL = "label";
  private static final String TERM = "term";

  /**
   * The term that a shard's next leader will have.
   *
   * @param counterRevision the revision of the pool's term counter from which the term was derived;
   *     0 if the counter does not exist yet
   */
  record NextTerm(long term, long counterRevision) {}

  private final StateClient store;
  private final String counterKey;
  private final String leaderKey;

  /**
   * Creates an instance that assigns the terms of one shard of a pool.
   *
   * @param counterKey the key of the pool's term counter
   * @param leaderKey the key under which the leader of this shard is published to the pool
   */
  public PoolTerms(StateClient store, String counterKey, String leaderKey) {
    this.store = store;
    this.counterKey = counterKey;
    this.leaderKey = leaderKey;
  }

  /**
   * Finds the next term of this shard, which is higher than the last term of any shard of the pool.
   *
   * @param lastTerm the last known term of this shard
   * @param handler receives the next term, or an empty value if the counter could not be read
   */
  void findNext(long lastTerm, Consumer<Optional<NextTerm>> handler) {
    store.get(
        counterKey,
        StateClient.RequestPriority.URGENT,
        result -> {
          if (result.found()) {
            long countedTerm = TermRecord.read(result.item().data()).number();
            handler.accept(
                Optional.of(
                    new NextTerm(Math.max(lastTerm, countedTerm) + 1, result.item().revision())));
          } else if (result.missing()) {
            handler.accept(Optional.of(new NextTerm(lastTerm + 1, 0)));
          } else {
            handler.accept(Optional.empty());
          }
        });
  }

  /**
   * Adds to the election transaction the updates of the pool's term counter and of the record that
   * publishes the shard's leader.
   */
  Transaction addToElection(Transaction transaction, NextTerm next, String label, long leaseId) {
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
