package plumlever.leader.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.election.LeaderElection;
import plumlever.leader.context.TermContext;
import plumlever.settings.SharingSettings;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.store.KeySpace;
import plumlever.wire.ListedMachine;

/**
 * Adopts the machines of shards that have had no leader for long. Nobody has renewed their leases
 * meanwhile, so none of that shard's tasks is on them any more; its jobs stay where they are and go
 * on when one of its controllers is back.
 */
final class DeadShardAdoption {
  /** Beyond leases: the drift of clocks, and the time that an answer is under way. */
  private static final long LAPSE_SLACK_MICROS = 10_000_000;

  /** What is known of leaders counts only while it is not older. */
  private static final long FRESH_MICROS = 5_000_000;

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final PoolLink link;
  private final PoolView view;
  private final TransferSteps steps;
  private final Consumer<TransferRecord> adopted;

  /** What the step under way makes of its machine; steps come one after the other. */
  private TransferRecord taking;

  private final Map<String, Long> leaderlessSince = new HashMap<>();

  DeadShardAdoption(
      TermContext context,
      SharingSettings sharing,
      PoolLink link,
      TransferSteps steps,
      Consumer<TransferRecord> adopted) {
    this.adopted = adopted;
    this.context = context;
    this.log = context.logs().of(DeadShardAdoption.class);
    this.sharing = sharing;
    this.link = link;
    this.view = link.view();
    this.steps = steps;
  }

  private long now() {
    return context.loop().nowMicros();
  }

  /**
   * The cloud lists a machine of another shard. If that has had no leader for long, all leases
   * there have lapsed, and the machine is adopted.
   */
  void listed(ListedMachine listedMachine) {
    Optional<String> holder = view.holder(listedMachine.id());
    if (holder.isEmpty()
        || listedMachine.endpoint() == null
        || steps.isUnderWay(listedMachine.id())) {
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

  /** Watches which shards have a leader; only what is fresh counts. */
  void watchLeaders() {
    boolean fresh = now() - link.knownMicros() < FRESH_MICROS;
    for (SharingSettings.Shard shard : sharing.otherShards()) {
      if (!fresh || view.leader(shard.name()).isPresent()) {
        leaderlessSince.remove(shard.name());
      } else {
        leaderlessSince.putIfAbsent(shard.name(), now());
      }
    }
  }

  private boolean isDead(SharingSettings.Shard shard) {
    long patience =
        Math.max(
            sharing.adoptAfterMicros(),
            2 * context.platform().workers().leaseMicros() + LAPSE_SLACK_MICROS);
    long since = leaderlessSince.getOrDefault(shard.name(), Long.MAX_VALUE);
    return since != Long.MAX_VALUE && now() - since > patience;
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
              steps.record(machine).orElseGet(() -> unmoved(listedMachine, dead));
          String leadership = KeySpace.absolute(dead.prefix(), LeaderElection.LEADER);
          return Optional.of(taken(before.withoutTasksOf(dead.name())).require(leadership, 0));
        },
        () -> {
          if (view.holder(machine).equals(Optional.of(sharing.ownShard().name()))) {
            adopted.accept(taking);
            log.warn("{} is adopted, {} has had no leader for long", machine, dead.name());
          }
        });
  }

  private PoolTransaction taken(TransferRecord before) {
    TransferSteps.Taking built = steps.take(List.of(before));
    taking = built.taken().get(0);
    return built.transaction();
  }

  private static TransferRecord unmoved(ListedMachine listedMachine, SharingSettings.Shard owner) {
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
