package plumlever.leader.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.scaling.RentalPlan;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.CoreDemand;
import plumlever.sharing.PoolView;
import plumlever.sharing.ShardDemand;
import plumlever.sharing.SharePolicy;
import plumlever.sharing.TransferRecord;
import plumlever.store.StateClient;
import plumlever.wire.MachineType;

/**
 * Publishes this shard's demand to the other shards and offers them the machines that {@link
 * SharePolicy} assigns to them: idle machines first, then those whose tasks are expected to end
 * soonest. A machine that this shard needs for its own pending jobs is not offered.
 */
final class MachineShareBalancer {
  /** Minimum interval between two publications of this shard's demand for machines. */
  private static final long PUBLISH_INTERVAL_MICROS = 2_000_000;

  /** Time after which this shard publishes its demand again although it has not changed. */
  private static final long REPUBLISH_INTERVAL_MICROS = 30_000_000;

  /**
   * Time from the start of a shortage in which this shard rents no machines if another shard has
   * idle machines to offer.
   */
  private static final long RENTAL_HOLD_MICROS = 5_000_000;

  /**
   * The number of machines that this shard has offered to another shard since that shard last
   * published its demand.
   *
   * @param revision revision of the other shard's demand record when the offers were made; with a
   *     newer record, the count starts again
   */
  private record OfferedMachines(long revision, int machines) {}

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final String ownShard;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final Failover failover;
  private final PoolView view;
  private final MachineTransfers transfers;
  private final LimitSharing limits;
  private final Map<String, OfferedMachines> offersSinceDemand = new HashMap<>();
  private ShardDemand publishedDemand;
  private long publishedMicros = Long.MIN_VALUE / 4;
  private long shortageSinceMicros = -1;
  private boolean publishing;
  private boolean digestsDiffer;

  MachineShareBalancer(
      TermContext context,
      SharingSettings sharing,
      Fleet fleet,
      SchedulingPass pass,
      Failover failover,
      PoolView view,
      MachineTransfers transfers,
      LimitSharing limits) {
    this.context = context;
    this.log = context.loggerProvider().of(MachineShareBalancer.class);
    this.sharing = sharing;
    this.ownShard = sharing.ownShard().name();
    this.fleet = fleet;
    this.pass = pass;
    this.failover = failover;
    this.view = view;
    this.transfers = transfers;
    this.limits = limits;
  }

  /** Publishes this shard's demand and offers machines to shards with a shortage. */
  void run() {
    if (!failover.isComplete() || !context.typeCatalog().isLoaded()) {
      return;
    }
    long now = context.loop().nowMicros();
    ShardDemand demand = demand();
    if (demand.wanted() == 0) {
      shortageSinceMicros = -1;
    } else if (shortageSinceMicros < 0) {
      shortageSinceMicros = now;
    }
    publishDemand(demand, now);
    offer(demand);
  }

  private ShardDemand demand() {
    int machines = 0;
    int idle = 0;
    for (Machine machine : fleet.machines()) {
      if (!machine.returning() && !machine.transferring()) {
        machines++;
        idle += isIdle(machine) ? 1 : 0;
      }
    }
    int wanted = machineShortage();
    return new ShardDemand(
        machines, wanted > 0 ? 0 : idle, wanted, sharing.digest(), limits.coresWanted());
  }

  private boolean isIdle(Machine machine) {
    return !machine.load().mayRunTasks() && !pass.hasPlan(machine) && transfers.canOffer(machine);
  }

  /**
   * Returns how many more machines of average size this shard needs to run the tasks that the last
   * scheduling pass could not place, or for all jobs to meet their deadlines, whichever is more.
   */
  private int machineShortage() {
    Map<String, Double> limitByTeam = new HashMap<>();
    for (PlatformConfiguration.Team team : context.platform().teams()) {
      if (team.maxCores() > 0) {
        limitByTeam.put(team.name(), team.maxCores());
      }
    }
    double missedDeadlineCores =
        CoreDemand.coresNeeded(pass.remainingWork(), limitByTeam) - coresOwned();
    double cores = Math.max(pass.requestedCores(), missedDeadlineCores);
    return (int) Math.min(sharing.maxMachines(), Math.ceil(Math.max(0, cores) / averageCores()));
  }

  private double coresOwned() {
    double cores = 0;
    for (Machine machine : fleet.machines()) {
      MachineType machineType = context.typeCatalog().machineType(machine.machineType());
      if (machineType != null && !machine.returning() && !machine.transferring()) {
        cores += machineType.cores() - machine.load().foreignTasks().cores();
      }
    }
    return cores;
  }

  private double averageCores() {
    double cores = 0;
    int count = 0;
    for (Machine machine : fleet.machines()) {
      MachineType machineType = context.typeCatalog().machineType(machine.machineType());
      if (machineType != null) {
        cores += machineType.cores();
        count++;
      }
    }
    if (count > 0) {
      return cores / count;
    }
    return context.typeCatalog().machineTypes().stream()
        .mapToDouble(MachineType::cores)
        .average()
        .orElse(1);
  }

  private void publishDemand(ShardDemand demand, long now) {
    boolean due =
        demand.equals(publishedDemand)
            ? REPUBLISH_INTERVAL_MICROS < now - publishedMicros
            : !publishing;
    if (publishing || !due || now - publishedMicros < PUBLISH_INTERVAL_MICROS) {
      return;
    }
    publishing = true;
    publishedMicros = now;
    String key = ShardDemand.keyOf(ownShard);
    context
        .store()
        .transaction(
            context.term().requireTerm().put(key, demand.toJson()),
            StateClient.RequestPriority.ORDINARY,
            result -> {
              publishing = false;
              publishedDemand = result.applied() ? demand : null;
            });
  }

  private void offer(ShardDemand demand) {
    int remainingOffers = sharing.maxTransfers() - transfers.openOffers();
    if (remainingOffers <= 0) {
      return;
    }
    List<SharePolicy.ShardState> shards = new ArrayList<>();
    shards.add(
        new SharePolicy.ShardState(
            ownShard,
            sharing.ownShard().minMachines(),
            sharing.ownShard().weight(),
            demand.machines(),
            demand.idle(),
            demand.wanted()));
    for (SharingSettings.Shard shard : sharing.otherShards()) {
      stateOf(shard).ifPresent(shards::add);
    }
    for (SharePolicy.PlannedTransfer transfer : SharePolicy.plan(shards, sharing.maxTransfers())) {
      if (transfer.from().equals(ownShard) && remainingOffers > 0) {
        remainingOffers -=
            offerMachines(transfer.to(), Math.min(remainingOffers, transfer.machines()));
      }
    }
  }

  /**
   * Returns the machines and the shortage that the other shard last published. The machines that
   * this shard has offered to it since are subtracted from its shortage. Returns empty if the shard
   * has no leader or a different sharing file.
   */
  private Optional<SharePolicy.ShardState> stateOf(SharingSettings.Shard shard) {
    Optional<ShardDemand> published = view.demand(shard.name());
    if (published.isEmpty() || view.leader(shard.name()).isEmpty()) {
      return Optional.empty();
    }
    ShardDemand demand = published.get();
    if (!demand.digest().equals(sharing.digest())) {
      if (!digestsDiffer) {
        digestsDiffer = true;
        log.warn("shard {} has a different sharing file: no machine is offered", shard.name());
      }
      return Optional.empty();
    }
    long revision = view.revisionOf(ShardDemand.keyOf(shard.name()));
    OfferedMachines earlier = offersSinceDemand.get(shard.name());
    int alreadyOffered = earlier != null && earlier.revision() == revision ? earlier.machines() : 0;
    int wanted = Math.max(0, demand.wanted() - alreadyOffered - transfers.offeredTo(shard.name()));
    return Optional.of(
        new SharePolicy.ShardState(
            shard.name(),
            shard.minMachines(),
            shard.weight(),
            demand.machines(),
            demand.idle(),
            wanted));
  }

  private int offerMachines(String to, int maxOffers) {
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (transfers.canOffer(machine) && !pass.hasPlan(machine)) {
        candidates.add(machine);
      }
    }
    candidates.sort(
        Comparator.<Machine>comparingInt(machine -> machine.load().mayRunTasks() ? 1 : 0)
            .thenComparingLong(pass::expectedIdleMicros)
            .thenComparing(Machine::id));
    int count = 0;
    Set<Machine> excluded = new HashSet<>(pass.cordoned());
    for (Machine machine : candidates) {
      if (count == maxOffers) {
        break;
      }
      excluded.add(machine);
      if (!pass.servesPendingJobsWithout(excluded)) {
        break;
      }
      transfers.offer(machine, to);
      count++;
    }
    if (count > 0) {
      long revision = view.revisionOf(ShardDemand.keyOf(to));
      OfferedMachines earlier = offersSinceDemand.get(to);
      int alreadyOffered =
          earlier != null && earlier.revision() == revision ? earlier.machines() : 0;
      offersSinceDemand.put(to, new OfferedMachines(revision, alreadyOffered + count));
    }
    return count;
  }

  /**
   * Returns true if this shard is allowed to rent machines. In the first {@link
   * #RENTAL_HOLD_MICROS} of a shortage, rentals are not allowed while another shard has idle
   * machines to offer.
   */
  boolean mayRent() {
    if (shortageSinceMicros < 0
        || context.loop().nowMicros() - shortageSinceMicros > RENTAL_HOLD_MICROS) {
      return true;
    }
    return sharing.otherShards().stream()
        .noneMatch(
            shard ->
                stateOf(shard)
                    .filter(state -> state.idle() > 0 && state.machines() > state.floor())
                    .isPresent());
  }

  /**
   * Returns true if this shard is allowed to return idle machines to the cloud: no shard of the
   * pool has a shortage of machines.
   */
  boolean mayReturnIdle() {
    return shortageSinceMicros < 0
        && sharing.otherShards().stream()
            .noneMatch(shard -> stateOf(shard).filter(state -> state.wanted() > 0).isPresent());
  }

  /**
   * Returns machine type, zone and spot flag of each machine that other shards have offered to this
   * shard.
   */
  List<RentalPlan.RentalOption> incomingMachines() {
    List<RentalPlan.RentalOption> options = new ArrayList<>();
    for (PoolView.Versioned<TransferRecord> versioned : view.transfers().values()) {
      TransferRecord record = versioned.value();
      if (record.offer().filter(offer -> offer.to().equals(ownShard)).isPresent()) {
        TransferRecord.Details details = record.machine();
        options.add(
            new RentalPlan.RentalOption(details.machineType(), details.zone(), details.spot()));
      }
    }
    return options;
  }
}
