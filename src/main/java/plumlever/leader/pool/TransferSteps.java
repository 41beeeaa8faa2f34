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

/** Sends the transactions of transfers, for each machine one after the other. */
final class TransferSteps {
  /** What builds the next transaction of a machine; nothing when there is none to send. */
  interface Builder {
    Optional<PoolTransaction> build();
  }

  /** Puts of a transaction that are the same for all its machines. */
  private static final int SHARED_PUTS = 2;

  /** Of the 64 KiB that a transaction may take, what its records of transfers may. */
  private static final int MOST_BYTES = 40 * 1024;

  /**
   * A transaction that makes machines this shard's.
   *
   * @param taken their records from then on; of those without foreign tasks none is stored
   */
  record Taking(PoolTransaction transaction, List<TransferRecord> taken) {}

  private final TermContext context;
  private final String own;
  private final PoolView view;
  private final PoolWriter writer;
  private final Set<String> underWay = new HashSet<>();

  /**
   * @param own name of this shard
   */
  TransferSteps(TermContext context, String own, PoolView view, PoolWriter writer) {
    this.context = context;
    this.own = own;
    this.view = view;
    this.writer = writer;
  }

  /** True while a transaction of the machine is under way. */
  boolean isUnderWay(String machine) {
    return underWay.contains(machine);
  }

  /** Where the machine's transfer stands, as far as is known. */
  Optional<TransferRecord> record(String machine) {
    return view.transfer(machine).map(PoolView.Versioned::value);
  }

  /** A transaction of this leader, which fails once another has taken over. */
  PoolTransaction transaction() {
    return new PoolTransaction(view, context.term().requireTerm());
  }

  /** The machine's record becomes this one, or is dropped if that says nothing more. */
  PoolTransaction replaced(String machine, TransferRecord record) {
    String key = TransferRecord.keyOf(machine);
    return record.isSettled() ? transaction().drop(key) : transaction().put(key, record.toJson());
  }

  /** How many machines one transaction can make this shard's. */
  int mostOwnedAtOnce() {
    return context.layout().limits().maxOperations() - SHARED_PUTS;
  }

  /**
   * These machines are this shard's, under a number newer than any other; as many of them as one
   * transaction holds.
   *
   * @param records of machines whose owners are in one record
   */
  Taking take(List<TransferRecord> records) {
    long number = view.counter() + 1;
    String first = records.get(0).machine().id();
    OwnerRecord owners = view.owners(first);
    PoolTransaction transaction =
        transaction().put(PoolView.COUNTER, Json.object().put("term", number));
    int bytes = 0;
    List<TransferRecord> all = new ArrayList<>();
    for (TransferRecord record : records) {
      TransferRecord taken = record.taken(own, number);
      ObjectNode json = taken.toJson();
      bytes += Json.write(json).length();
      if (bytes > MOST_BYTES && !all.isEmpty()) {
        break;
      }
      all.add(taken);
      String machine = record.machine().id();
      owners = owners.with(machine, own);
      if (taken.isSettled()) {
        transaction.drop(TransferRecord.keyOf(machine));
      } else {
        transaction.put(TransferRecord.keyOf(machine), json);
      }
    }
    return new Taking(transaction.put(OwnerRecord.keyOf(first), owners.toJson()), all);
  }

  /**
   * Whoever wants another step of a machine that has one under way asks again.
   *
   * @return false if this one will not be
   */
  boolean step(String machine, Builder builder, Runnable finished) {
    return step(List.of(machine), builder, finished);
  }

  /** The same for several machines; those that have a step under way must not be among them. */
  boolean step(List<String> machines, Builder builder, Runnable finished) {
    if (machines.isEmpty() || machines.stream().anyMatch(underWay::contains)) {
      return false;
    }
    underWay.addAll(machines);
    boolean taken =
        writer.submit(
            new PoolWriter.Step() {
              @Override
              public Optional<PoolTransaction> build() {
                return builder.build();
              }

              @Override
              public void finished() {
                machines.forEach(underWay::remove);
                finished.run();
              }
            });
    if (!taken) {
      machines.forEach(underWay::remove);
    }
    return taken;
  }
}
