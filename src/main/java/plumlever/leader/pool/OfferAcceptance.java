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

/** Takes the machines that other shards offer to this one. */
final class OfferAcceptance {
  private final SharingSettings sharing;
  private final String own;
  private final PoolView view;
  private final TransferSteps steps;
  private final Function<TransferRecord, Machine> acquire;

  /** What the transaction under way makes of its machines; they come one after the other. */
  private List<TransferRecord> recordsBeingTaken = List.of();

  /** Transactions that are under way or wait for their turn. */
  private int openTransactions;

  /**
   * @param acquire makes a machine this shard's in memory
   */
  OfferAcceptance(
      SharingSettings sharing,
      PoolView view,
      TransferSteps steps,
      Function<TransferRecord, Machine> acquire) {
    this.sharing = sharing;
    this.own = sharing.ownShard().name();
    this.view = view;
    this.steps = steps;
    this.acquire = acquire;
  }

  private boolean owns(String machine) {
    return view.holder(machine).equals(Optional.of(own));
  }

  /** Takes what is offered, as many machines in one transaction as it holds. */
  void takeOffers() {
    // What is offered while a transaction waits for its turn goes with the next one together.
    if (openTransactions > 0) {
      return;
    }
    Map<String, List<String>> groups = new TreeMap<>();
    for (Map.Entry<String, PoolView.Versioned<TransferRecord>> entry :
        view.transfers().entrySet()) {
      String machine = entry.getKey();
      if (isOffered(entry.getValue().value()) && !steps.isUnderWay(machine)) {
        String owner = entry.getValue().value().owner();
        groups
            .computeIfAbsent(owner + OwnerRecord.keyOf(machine), key -> new ArrayList<>())
            .add(machine);
      }
    }
    for (List<String> group : groups.values()) {
      for (List<String> part : Lists.partition(group, steps.mostOwnedAtOnce())) {
        openTransactions++;
        if (!steps.step(part, () -> buildTransaction(part), this::acquireSettled)) {
          openTransactions--;
        }
      }
    }
  }

  private boolean isOffered(TransferRecord record) {
    return record
            .offer()
            .filter(offer -> offer.to().equals(own) && offer.digest().equals(sharing.digest()))
            .isPresent()
        && view.holder(record.machine().id()).equals(Optional.of(record.owner()));
  }

  /** The machines must have one owner, and their offers must be of one term of its. */
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
    String giver = sharing.shard(offered.get(0).owner()).prefix();
    TransferSteps.Taking built = steps.take(ofOneTerm);
    recordsBeingTaken = built.taken();
    return Optional.of(
        built.transaction().require(KeySpace.absolute(giver, LeaderElection.TERM), termRevision));
  }

  /** What has foreign tasks is found by its record; what has none is acquired here. */
  private void acquireSettled() {
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
