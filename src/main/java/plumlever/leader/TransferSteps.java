package plumlever.leader;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
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

  private final Context context;
  private final String own;
  private final PoolView view;
  private final PoolWriter writer;
  private final Set<String> underWay = new HashSet<>();

  /**
   * @param own name of this cell
   */
  TransferSteps(Context context, String own, PoolView view, PoolWriter writer) {
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
    return view.transfer(machine).map(PoolView.Stamped::value);
  }

  /** A transaction of this leader, which fails once another has taken over. */
  PoolTransaction transaction() {
    return new PoolTransaction(view, context.term().guard());
  }

  /** The machine's record becomes this one, or is dropped if that says nothing more. */
  PoolTransaction replaced(String machine, TransferRecord record) {
    String key = TransferRecord.keyOf(machine);
    return record.isSettled() ? transaction().drop(key) : transaction().put(key, record.toJson());
  }

  /** The machine is this cell's, under a number newer than any other. */
  PoolTransaction owned(String machine, TransferRecord record) {
    long number = view.counter() + 1;
    return transaction()
        .put(PoolView.COUNTER, Json.object().put("term", number))
        .put(OwnerRecord.keyOf(machine), view.owners(machine).with(machine, own).toJson())
        .put(TransferRecord.keyOf(machine), record.taken(own, number).toJson());
  }

  /** Does nothing if the machine has a step under way: whoever wants another asks again. */
  void step(String machine, Builder builder, Runnable finished) {
    if (!underWay.add(machine)) {
      return;
    }
    boolean taken =
        writer.submit(
            new PoolWriter.Step() {
              @Override
              public Optional<PoolTransaction> build() {
                return builder.build();
              }

              @Override
              public void finished() {
                underWay.remove(machine);
                finished.run();
              }
            });
    if (!taken) {
      underWay.remove(machine);
    }
  }
}
