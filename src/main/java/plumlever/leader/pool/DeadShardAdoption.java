package plumlever.leader.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.election.LeaderElection;
import plumlever.leader.context.TermContext;
import plumlever.lease.LeaseExpiryBound;
import plumlever.settings.SharingSettings;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.store.KeySpace;
import plumlever.wire.ListedMachine;

/**
 * Adopts the machines of shards that have had no leader for a long time. No leader has renewed the
 * machines' leases in that time, so the workers have killed all tasks of the dead shard. Its jobs
 * stay with the dead shard and continue when one of its controllers is back.
 */
final class DeadShardAdoption {
  /**
   * A shard's machines are not adopted before it has had no leader for twice the longest time that
   * a lease can last without renewal, plus this margin. The margin covers the age of this leader's
   * view of the pool.
   */
  private static final long VIEW_MARGIN_MICROS = 10_000_000;

  /** A shard counts as leaderless only while this leader's view of the pool is at most this old. */
  private static final long MAX_VIEW_AGE_MICROS = 5_000_000;

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final PoolRecordWatch recordWatch;
  private final PoolView view;
  private final TransferSteps steps;
  private final LeaseExpiryBound leaseBound;
  private final Consumer<TransferRecord> onAdopted;

  /**
   * The transfer record of the adopted machine as the transaction in flight stores it. One field is
   * enough because transactions on the pool's records run one at a time.
   */
  private TransferRecord recordBeingTaken;

  private final Map<String, Long> leaderlessSince = new HashMap<>();

  DeadShardAdoption(
      TermContext context,
      SharingSettings sharing,
      PoolRecordWatch recordWatch,
      TransferSteps steps,
      Consumer<TransferRecord> onAdopted) {
    this.onAdopted = onAdopted;
    this.leaseBound = new LeaseExpiryBound(context.platform().workers());
    this.context = context;
    this.log = context.loggerProvider().of(DeadShardAdoption.class);
    this.sharing = sharing;
    this.recordWatch = recordWatch;
    this.view = recordWatch.view();
    this.steps = steps;
  }

  private long now() {
    return context.loop().nowMicros();
  }

  /**
   * Adopts a machine that the cloud lists and that another shard owns, if that shard has had no
   * leader for so long that all its leases have expired.
   */
  void machineListed(ListedMachine listedMachine) {
    Optional<String> holder = view.holder(listedMachine.id());
    if (holder.isEmpty()
        || listedMachine.endpoint() == null
        || steps.isInProgress(listedMachine.id())) {
      return;
    }
    Optional<SharingSettings.Shard> shard =
        sharing.otherShards().stream()
            .filter(other -> other.name().equals(holder.get()))
            .findFirst();
    if (shard.isPresent() && isDead(shard.get())) {
      adopt(listedMachine, shard.get());
    }
  }

  /**
   * Records for each other shard the time at which it was first seen without a leader. The time is
   * cleared if the shard has a leader or if the view of the pool is too old.
   */
  void watchLeaders() {
    boolean fresh = now() - recordWatch.lastReadMicros() < MAX_VIEW_AGE_MICROS;
    for (SharingSettings.Shard shard : sharing.otherShards()) {
      if (!fresh || view.leader(shard.name()).isPresent()) {
        leaderlessSince.remove(shard.name());
      } else {
        leaderlessSince.putIfAbsent(shard.name(), now());
      }
    }
  }

  private boolean isDead(SharingSettings.Shard shard) {
    long minLeaderlessMicros =
        Math.max(
            sharing.adoptionDelayMicros(),
            2 * leaseBound.maxRemainingMicros() + VIEW_MARGIN_MICROS);
    long since = leaderlessSince.getOrDefault(shard.name(), Long.MAX_VALUE);
    return since != Long.MAX_VALUE && now() - since > minLeaderlessMicros;
  }

  private void adopt(ListedMachine listedMachine, SharingSettings.Shard dead) {
    String machine = listedMachine.id();
    steps.step(
        machine,
        () -> {
          if (!view.holder(machine).equals(Optional.of(dead.name())) || !isDead(dead)) {
            return Optional.empty();
          }
          TransferRecord before =
              steps.record(machine).orElseGet(() -> initialRecord(listedMachine, dead));
          String leaderKey = KeySpace.absolute(dead.prefix(), LeaderElection.LEADER);
          return Optional.of(
              buildTransaction(before.withoutTasksOf(dead.name())).require(leaderKey, 0));
        },
        () -> {
          if (view.holder(machine).equals(Optional.of(sharing.ownShard().name()))) {
            onAdopted.accept(recordBeingTaken);
            log.warn(
                "adopted machine {}: shard {} has had no leader for a long time",
                machine,
                dead.name());
          }
        });
  }

  private PoolTransaction buildTransaction(TransferRecord before) {
    TransferSteps.Acquisition built = steps.buildAcquisition(List.of(before));
    recordBeingTaken = built.records().get(0);
    return built.transaction();
  }

  private static TransferRecord initialRecord(
      ListedMachine listedMachine, SharingSettings.Shard owner) {
    return new TransferRecord(
        TransferRecord.State.TAKEN,
        new TransferRecord.Details(
            listedMachine.id(),
            listedMachine.endpoint(),
            listedMachine.machineType(),
            listedMachine.zone(),
            listedMachine.spot()),
        0,
        owner.name(),
        0,
        Optional.empty(),
        Map.of());
  }
}
