package plumlever.leader.pool;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import plumlever.leader.context.TermContext;
import plumlever.sharing.OwnerRecord;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.wire.Json;

/** Sends the transactions of transfers, with at most one in flight or queued per machine. */
final class TransferSteps {
  /** Builds a machine's next transaction on the pool's records; returns empty if none is needed. */
  interface Builder {
    Optional<PoolTransaction> build();
  }

  /**
   * Number of operations in an acquiring transaction that do not depend on the number of machines:
   * the changes of the pool's counter and of the owner record.
   */
  private static final int SHARED_OPERATIONS = 2;

  /**
   * Limit for the total size of the transfer records in one transaction. A whole transaction must
   * not exceed 64 KiB.
   */
  private static final int MAX_RECORD_BYTES = 40 * 1024;

  /**
   * A transaction that makes this shard the owner of machines.
   *
   * @param records the machines' transfer records after the transaction; records without foreign
   *     tasks are not stored
   */
  record Acquisition(PoolTransaction transaction, List<TransferRecord> records) {}

  private final TermContext context;
  private final String ownShard;
  private final PoolView view;
  private final PoolWriter writer;
  private final Set<String> inProgress = new HashSet<>();

  /**
   * @param ownShard this shard's name
   */
  TransferSteps(TermContext context, String ownShard, PoolView view, PoolWriter writer) {
    this.context = context;
    this.ownShard = ownShard;
    this.view = view;
    this.writer = writer;
  }

  /** Returns true while a transaction of the machine is queued or in flight. */
  boolean isInProgress(String machine) {
    return inProgress.contains(machine);
  }

  /** Returns the machine's transfer record as last read; empty if the machine has none. */
  Optional<TransferRecord> record(String machine) {
    return view.transfer(machine).map(PoolView.Versioned::value);
  }

  /**
   * Returns a transaction without changes yet, which the state service rejects if this leader's
   * term is over.
   */
  PoolTransaction transaction() {
    return new PoolTransaction(view, context.term().requireTerm());
  }

  /**
   * Returns a transaction that stores the machine's new transfer record, or deletes the stored
   * record if the new record has neither foreign tasks (tasks of other shards) nor an offer.
   */
  PoolTransaction replaceRecord(String machine, TransferRecord record) {
    String key = TransferRecord.keyOf(machine);
    return record.isSettled() ? transaction().delete(key) : transaction().put(key, record.toJson());
  }

  /** Returns the number of machines that one transaction can acquire. */
  int maxMachinesPerTransaction() {
    return context.recordLayout().limits().maxOperations() - SHARED_OPERATIONS;
  }

  /**
   * Builds a transaction that makes this shard the owner of the machines, under a new number from
   * the pool's counter. If the records exceed the size limit of one transaction, only the first
   * machines are included.
   *
   * @param records transfer records of machines that share one owner record
   */
  Acquisition buildAcquisition(List<TransferRecord> records) {
    long number = view.counter() + 1;
    String first = records.get(0).machine().id();
    OwnerRecord owners = view.owners(first);
    PoolTransaction transaction =
        transaction().put(PoolView.COUNTER, Json.object().put("term", number));
    int bytes = 0;
    List<TransferRecord> included = new ArrayList<>();
    for (TransferRecord record : records) {
      TransferRecord taken = record.taken(ownShard, number);
      ObjectNode json = taken.toJson();
      bytes += Json.write(json).length();
      if (bytes > MAX_RECORD_BYTES && !included.isEmpty()) {
        break;
      }
      included.add(taken);
      String machine = record.machine().id();
      owners = owners.with(machine, ownShard);
      if (taken.isSettled()) {
        transaction.delete(TransferRecord.keyOf(machine));
      } else {
        transaction.put(TransferRecord.keyOf(machine), json);
      }
    }
    return new Acquisition(transaction.put(OwnerRecord.keyOf(first), owners.toJson()), included);
  }

  /**
   * Queues a transaction on the pool's records for the machine. The builder is called before each
   * attempt to send, so that the transaction fits the current records.
   *
   * @return false if the machine already has a transaction queued or in flight, or the queue is
   *     full; the caller retries later
   */
  boolean step(String machine, Builder builder, Runnable finished) {
    return step(List.of(machine), builder, finished);
  }

  /**
   * Queues one transaction on the pool's records for several machines. Returns false if one of the
   * machines already has a transaction queued or in flight, or if the queue is full.
   */
  boolean step(List<String> machines, Builder builder, Runnable finished) {
    if (machines.isEmpty() || machines.stream().anyMatch(inProgress::contains)) {
      return false;
    }
    inProgress.addAll(machines);
    boolean queued =
        writer.submit(
            new PoolWriter.Step() {
              @Override
              public Optional<PoolTransaction> build() {
                return builder.build();
              }

              @Override
              public void finished() {
                machines.forEach(inProgress::remove);
                finished.run();
              }
            });
    if (!queued) {
      machines.forEach(inProgress::remove);
    }
    return queued;
  }
}
