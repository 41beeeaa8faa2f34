package plumlever.leader.pool;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import plumlever.election.LeaderElection;
import plumlever.fleet.Machine;
import plumlever.settings.SharingSettings;
import plumlever.sharing.OwnerRecord;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.store.KeySpace;

/** Accepts the machines that other shards offer to this shard. */
final class OfferAcceptance {
  private final SharingSettings sharing;
  private final String ownShard;
  private final PoolView view;
  private final TransferSteps steps;
  private final Function<TransferRecord, Machine> acquire;

  /**
   * The transfer records as the transaction in flight stores them when it accepts offers. One field
   * is enough because transactions on the pool's records run one at a time.
   */
  private List<TransferRecord> recordsBeingTaken = List.of();

  /** Number of transactions that accept offers and are queued or in flight. */
  private int openTransactions;

  /**
   * @param acquire adds an accepted machine to this shard's fleet in memory
   */
  OfferAcceptance(
      SharingSettings sharing,
      PoolView view,
      TransferSteps steps,
      Function<TransferRecord, Machine> acquire) {
    this.sharing = sharing;
    this.ownShard = sharing.ownShard().name();
    this.view = view;
    this.steps = steps;
    this.acquire = acquire;
  }

  private boolean owns(String machine) {
    return view.holder(machine).equals(Optional.of(ownShard));
  }

  /**
   * Accepts all open offers of machines to this shard. Each transaction accepts as many as its
   * limits on size and operations allow.
   */
  void acceptOffers() {
    // Offers that arrive while a transaction is queued are accepted together in the next one.
    if (openTransactions > 0) {
      return;
    }
    Map<String, List<String>> groups = new TreeMap<>();
    for (Map.Entry<String, PoolView.Versioned<TransferRecord>> entry :
        view.transfers().entrySet()) {
      String machine = entry.getKey();
      if (isOffered(entry.getValue().value()) && !steps.isInProgress(machine)) {
        String owner = entry.getValue().value().owner();
        groups
            .computeIfAbsent(owner + OwnerRecord.keyOf(machine), key -> new ArrayList<>())
            .add(machine);
      }
    }
    for (List<String> group : groups.values()) {
      for (List<String> batch : Lists.partition(group, steps.maxMachinesPerTransaction())) {
        openTransactions++;
        if (!steps.step(batch, () -> buildTransaction(batch), this::acquireWithoutForeignTasks)) {
          openTransactions--;
        }
      }
    }
  }

  private boolean isOffered(TransferRecord record) {
    return record
            .offer()
            .filter(offer -> offer.to().equals(ownShard) && offer.digest().equals(sharing.digest()))
            .isPresent()
        && view.holder(record.machine().id()).equals(Optional.of(record.owner()));
  }

  /**
   * Builds the transaction that accepts the offers of the machines, which must all have the same
   * owner. The accepted offers are of a single term of the owner's leader, so that one precondition
   * on the revision of the owner's term record covers them all.
   */
  private Optional<PoolTransaction> buildTransaction(List<String> machines) {
    List<TransferRecord> offered =
        machines.stream()
            .map(steps::record)
            .flatMap(Optional::stream)
            .filter(this::isOffered)
            .toList();
    if (offered.isEmpty()) {
      return Optional.empty();
    }
    long termRevision = offered.get(0).offer().orElseThrow().termRevision();
    List<TransferRecord> ofOneTerm =
        offered.stream()
            .filter(record -> record.offer().orElseThrow().termRevision() == termRevision)
            .toList();
    String ownerPrefix = sharing.shard(offered.get(0).owner()).prefix();
    TransferSteps.Acquisition built = steps.buildAcquisition(ofOneTerm);
    recordsBeingTaken = built.records();
    return Optional.of(
        built
            .transaction()
            .require(KeySpace.absolute(ownerPrefix, LeaderElection.TERM), termRevision));
  }

  /**
   * Adds the accepted machines without foreign tasks to the fleet. Machines with foreign tasks
   * (tasks of other shards) keep a transfer record, through which {@link MachineTransfers} acquires
   * them.
   */
  private void acquireWithoutForeignTasks() {
    openTransactions--;
    for (TransferRecord record : recordsBeingTaken) {
      String machine = record.machine().id();
      if (owns(machine) && view.transfer(machine).isEmpty()) {
        acquire.apply(record).setTransferring(false);
      }
    }
    recordsBeingTaken = List.of();
  }
}
