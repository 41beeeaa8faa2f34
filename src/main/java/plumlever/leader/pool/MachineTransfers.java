package plumlever.leader.pool;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.machine.MachineRegistry;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.settings.SharingSettings;
import plumlever.sharing.ForeignTask;
import plumlever.sharing.OwnerRecord;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.wire.Json;
import plumlever.wire.MachineType;

/**
 * Reconciles this shard's machines with the transfer records: offers machines to other shards,
 * accepts offers, and settles this shard's tasks on machines of other shards. Every step starts
 * from the stored records, so the next leader of either shard can continue from any state.
 */
final class MachineTransfers {
  /** An offer that the other shard has not accepted within this time is withdrawn. */
  private static final long OFFER_TIMEOUT_MICROS = 8_000_000;

  /**
   * The owner accepts heartbeats of an offered machine only if its view of the pool's records is at
   * most this old. This limits how long a former owner can renew the machine's lease.
   */
  static final long MAX_VIEW_AGE_MICROS = 5_000_000;

  /** Assumed age of an acquired machine, as a multiple of the boot time of its machine type. */
  private static final double BOOT_MARGIN = 1.3;

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final String ownShard;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final HeartbeatHandler heartbeats;
  private final MachineRegistry registry;
  private final SchedulingPass pass;
  private final PoolView view;
  private final TransferSteps steps;
  private final OfferAcceptance offerAcceptance;
  private final ForeignTasks foreignTasks;
  private final Failover failover;
  private final Consumer<Machine> sendToken;
  private final Map<String, Long> offeredMicros = new HashMap<>();

  /** Machines that this shard transferred away and that hold none of its tasks any more. */
  private final Set<String> machinesWithoutOwnTasks = new HashSet<>();

  private boolean digestMismatchLogged;

  MachineTransfers(
      TermContext context,
      SharingSettings sharing,
      Fleet fleet,
      ActiveJobs jobs,
      HeartbeatHandler heartbeats,
      MachineRegistry registry,
      SchedulingPass pass,
      PoolView view,
      TransferSteps steps,
      ForeignTasks foreignTasks,
      Failover failover,
      Consumer<Machine> sendToken) {
    this.sendToken = sendToken;
    this.context = context;
    this.log = context.loggerProvider().of(MachineTransfers.class);
    this.sharing = sharing;
    this.ownShard = sharing.ownShard().name();
    this.fleet = fleet;
    this.jobs = jobs;
    this.heartbeats = heartbeats;
    this.registry = registry;
    this.pass = pass;
    this.view = view;
    this.steps = steps;
    this.offerAcceptance = new OfferAcceptance(sharing, view, steps, this::acquire);
    this.foreignTasks = foreignTasks;
    this.failover = failover;
  }

  private long now() {
    return context.loop().nowMicros();
  }

  /** Returns true while the owner record names this shard as the owner of the machine. */
  boolean owns(String machine) {
    return view.holder(machine).equals(Optional.of(ownShard));
  }

  /** Returns the number of machines that this shard has offered and that are not yet accepted. */
  int openOffers() {
    return offeredMicros.size();
  }

  /** Returns the number of machines that are offered to the given shard and not yet accepted. */
  int offeredTo(String shard) {
    return (int)
        offeredMicros.keySet().stream()
            .filter(
                machine ->
                    view.transfer(machine)
                        .flatMap(versioned -> versioned.value().offer())
                        .filter(offer -> offer.to().equals(shard))
                        .isPresent())
            .count();
  }

  /** Reconciles the fleet with the transfer records; runs periodically and on record changes. */
  void reconcile() {
    for (Map.Entry<String, PoolView.Versioned<TransferRecord>> entry :
        List.copyOf(view.transfers().entrySet())) {
      TransferRecord record = entry.getValue().value();
      if (record.state() == TransferRecord.State.GONE) {
        reconcileGone(record);
      } else if (record.owner().equals(ownShard)) {
        if (owns(entry.getKey())) {
          reconcileOwned(record);
        }
      } else if (record.hasTasksOf(ownShard)) {
        reconcileTransferredOut(record);
      } else {
        releaseIfNotOwned(record);
      }
      if (record.state() == TransferRecord.State.OFFERED) {
        handleOffer(record);
      }
    }
    for (String machine : List.copyOf(offeredMicros.keySet())) {
      if (view.transfer(machine).isEmpty() && !owns(machine) && !steps.isInProgress(machine)) {
        releaseWithoutRecord(machine);
      }
    }
    offerAcceptance.acceptOffers();
  }

  /** Removes from the fleet a machine that another shard acquired without a transfer record. */
  private void releaseWithoutRecord(String id) {
    Machine machine = fleet.machine(id);
    offeredMicros.remove(id);
    if (machine != null) {
      release(machine);
      fleet.remove(machine);
    }
  }

  /** Reconciles a machine that this shard owns: acquired from another shard, or offered to one. */
  private void reconcileOwned(TransferRecord record) {
    Machine machine = acquire(record);
    if (record.state() == TransferRecord.State.TAKEN && !steps.isInProgress(machine.id())) {
      machine.setTransferring(false);
      offeredMicros.remove(machine.id());
    } else {
      machine.setTransferring(true);
    }
    foreignTasks.update(machine, record);
    if (record.isSettled()) {
      deleteSettledRecord(record.machine().id());
    }
  }

  /** Adds the machine to the fleet if missing; raises its tokens' term to the record's number. */
  Machine acquire(TransferRecord record) {
    Machine machine = fleet.machine(record.machine().id());
    if (machine == null) {
      return addAcquired(record);
    }
    if (machine.tokens().term() < record.number()) {
      // The machine was transferred away and back before this controller read either change.
      machine.tokens().startTerm(record.number());
      machine.markInherited();
      machine.contact().recordFormerOwnerRenewal(now() + MAX_VIEW_AGE_MICROS);
      sendToken.accept(machine);
    } else if (!machine.accounted() && machine.contact().formerOwnerRenewalMicros() < 0) {
      machine.contact().recordFormerOwnerRenewal(now() + MAX_VIEW_AGE_MICROS);
    }
    return machine;
  }

  private Machine addAcquired(TransferRecord record) {
    TransferRecord.Details details = record.machine();
    Machine machine = fleet.transferredMachine(details.id());
    machinesWithoutOwnTasks.remove(details.id());
    if (machine != null) {
      fleet.removeTransferred(machine);
    } else {
      machine =
          new Machine(
              details.id(),
              details.endpoint(),
              details.machineType(),
              details.zone(),
              details.spot(),
              now() - bootMicros(details.machineType()));
    }
    machine.markInherited();
    machine.tokens().startTerm(record.number());
    machine.contact().recordFormerOwnerRenewal(now() + MAX_VIEW_AGE_MICROS);
    fleet.add(machine);
    registry.register(machine);
    sendToken.accept(machine);
    context.metrics().count("machines_taken");
    log.info(
        "acquired machine {}, {} other shards have tasks on the machine",
        details.id(),
        record.tasksByShard().size());
    return machine;
  }

  /** Returns the assumed age of an acquired machine, which has booted: more than its boot time. */
  private long bootMicros(String machineType) {
    MachineType known = context.typeCatalog().machineType(machineType);
    return known == null ? 0 : (long) (known.startupS() * BOOT_MARGIN * 1e6);
  }

  /** Reconciles a machine of another shard that may hold tasks of this shard. */
  private void reconcileTransferredOut(TransferRecord record) {
    Machine machine = fleet.transferredMachine(record.machine().id());
    if (machine == null) {
      Machine former = fleet.machine(record.machine().id());
      machine = former == null ? machineFromRecord(record) : former;
      if (former != null) {
        release(former);
      }
      fleet.transferOut(machine, record.number());
    }
    machine.tokens().startTerm(record.number());
    removeOwnShardIfSettled(machine);
  }

  /** Rebuilds a machine and this shard's attempts on the machine from the transfer record. */
  private Machine machineFromRecord(TransferRecord record) {
    TransferRecord.Details details = record.machine();
    Machine machine =
        new Machine(
            details.id(),
            details.endpoint(),
            details.machineType(),
            details.zone(),
            details.spot(),
            now());
    machine.contact().raiseIncarnation(record.incarnation(), now());
    machine.markAccounted();
    for (ForeignTask foreignTask : record.tasksByShard().get(ownShard)) {
      Job job = jobs.get(foreignTask.task().job());
      int task = foreignTask.task().number();
      boolean open =
          job != null
              && !job.hasEnded()
              && task < job.spec().taskCount()
              && !job.completedTasks().get(task);
      if (open && job.liveAttempt(task) == null) {
        fleet.adoptAttempt(job, task, foreignTask.attempt(), machine, now());
      }
    }
    return machine;
  }

  private void release(Machine machine) {
    offeredMicros.remove(machine.id());
    machine.setTransferring(false);
    pass.dropPlan(machine);
    registry.remove(machine);
    foreignTasks.remove(machine);
    context.metrics().count("machines_given");
    log.info(
        "transferred machine {} to another shard, {} own tasks remain on the machine",
        machine.id(),
        machine.load().liveAttempts());
  }

  /** Removes from the fleet a machine of another shard that runs no task of this shard. */
  private void releaseIfNotOwned(TransferRecord record) {
    Machine machine = fleet.machine(record.machine().id());
    if (machine != null && !owns(machine.id())) {
      release(machine);
      fleet.remove(machine);
    }
  }

  private void reconcileGone(TransferRecord record) {
    Machine machine = fleet.transferredMachine(record.machine().id());
    if (machine != null) {
      heartbeats.endAllAttempts(machine);
      machinesWithoutOwnTasks.add(machine.id());
    }
    if (record.hasTasksOf(ownShard)) {
      if (machine == null) {
        removeOwnShardFromRecord(record.machine().id());
      } else {
        removeOwnShardIfSettled(machine);
      }
    }
  }

  /** Handles a heartbeat, relayed by the machine's owner, that lists no task of this shard. */
  void noOwnTasksReported(Machine machine) {
    machinesWithoutOwnTasks.add(machine.id());
    removeOwnShardIfSettled(machine);
  }

  /** Removes this shard from the transfer record once none of its tasks can be on the machine. */
  private void removeOwnShardIfSettled(Machine machine) {
    boolean withoutOwnTasks =
        machinesWithoutOwnTasks.contains(machine.id())
            || steps
                .record(machine.id())
                .filter(record -> record.tasksByShard().getOrDefault(ownShard, List.of()).isEmpty())
                .isPresent();
    if (withoutOwnTasks && machine.load().hasNoAttempts()) {
      removeOwnShardFromRecord(machine.id());
    }
  }

  private void removeOwnShardFromRecord(String machine) {
    steps.step(
        machine,
        () ->
            steps
                .record(machine)
                .filter(record -> record.hasTasksOf(ownShard))
                .map(record -> steps.replaceRecord(machine, record.withoutTasksOf(ownShard))),
        () -> {
          Machine transferred = fleet.transferredMachine(machine);
          if (transferred != null
              && steps.record(machine).filter(record -> record.hasTasksOf(ownShard)).isEmpty()) {
            fleet.removeTransferred(transferred);
            machinesWithoutOwnTasks.remove(machine);
          }
        });
  }

  private void deleteSettledRecord(String machine) {
    steps.step(
        machine,
        () ->
            steps
                .record(machine)
                .filter(record -> record.owner().equals(ownShard) && record.isSettled())
                .map(record -> steps.transaction().delete(TransferRecord.keyOf(machine))),
        () -> {
          Machine settled = fleet.machine(machine);
          if (settled != null && view.transfer(machine).isEmpty()) {
            foreignTasks.remove(settled);
          }
        });
  }

  /** Returns true if the machine can be offered to another shard in its current state. */
  boolean canOffer(Machine machine) {
    return owns(machine.id())
        && machine.contact().hasSentHeartbeat()
        && machine.accounted()
        && machine.endpoint() != null
        && !machine.transferring()
        && !machine.draining()
        && !machine.returning()
        && !machine.failed()
        && !machine.contact().unreachable()
        && !machine.contact().commandInFlight()
        && !machine.load().hasUnconfirmedStart()
        && !failover.runsUntrackedTasks(machine)
        && !steps.isInProgress(machine.id());
  }

  /** Offers the machine to the shard; from this call on no further task is started on it. */
  void offer(Machine machine, String to) {
    machine.setTransferring(true);
    pass.dropPlan(machine);
    offeredMicros.put(machine.id(), now());
    context.metrics().count("machines_offered");
    log.info(
        "offering machine {} to shard {} ({} tasks)",
        machine.id(),
        to,
        machine.load().liveAttempts());
    steps.step(
        machine.id(),
        () -> buildOffer(machine, to),
        () -> {
          if (!owns(machine.id()) && steps.record(machine.id()).isEmpty()) {
            releaseWithoutRecord(machine.id());
          } else if (steps.record(machine.id()).flatMap(TransferRecord::offer).isEmpty()) {
            machine.setTransferring(false);
            offeredMicros.remove(machine.id());
          }
        });
  }

  private Optional<PoolTransaction> buildOffer(Machine machine, String to) {
    Optional<TransferRecord> before = steps.record(machine.id());
    if (!owns(machine.id()) || before.flatMap(TransferRecord::offer).isPresent()) {
      return Optional.empty();
    }
    Map<String, List<ForeignTask>> tasksByShard =
        new TreeMap<>(before.map(TransferRecord::tasksByShard).orElse(Map.of()));
    if (!machine.load().hasNoAttempts()) {
      tasksByShard.put(ownShard, foreignTasksOf(machine));
    }
    TransferRecord offer =
        TransferRecord.offered(
            new TransferRecord.Details(
                machine.id(),
                machine.endpoint(),
                machine.machineType(),
                machine.zone(),
                machine.spot()),
            machine.contact().incarnation(),
            ownShard,
            Math.max(machine.tokens().term(), before.map(TransferRecord::number).orElse(0L)),
            new TransferRecord.Offer(to, context.term().revision(), sharing.digest()),
            tasksByShard);
    int bytes = Json.write(offer.toJson()).getBytes(StandardCharsets.UTF_8).length;
    if (bytes > context.recordLayout().maxValueBytes()) {
      log.info("not offering machine {}: its tasks do not fit into one record", machine.id());
      return Optional.empty();
    }
    return Optional.of(
        steps
            .transaction()
            .require(OwnerRecord.keyOf(machine.id()))
            .put(TransferRecord.keyOf(machine.id()), offer.toJson()));
  }

  private static List<ForeignTask> foreignTasksOf(Machine machine) {
    List<ForeignTask> tasks = new ArrayList<>();
    for (Attempt attempt : machine.load().attempts()) {
      tasks.add(
          new ForeignTask(
              attempt.name(),
              attempt.id(),
              attempt.job().spec().cores(),
              attempt.job().spec().accelerators(),
              attempt.job().spec().memoryGb()));
    }
    return tasks;
  }

  /**
   * Handles an open offer. An offer by this shard is withdrawn after a timeout or if it is of an
   * earlier term. For an offer to this shard, a differing sharing file is logged.
   */
  private void handleOffer(TransferRecord record) {
    String machine = record.machine().id();
    TransferRecord.Offer offer = record.offer().orElseThrow();
    if (record.owner().equals(ownShard)) {
      long since = offeredMicros.getOrDefault(machine, Long.MIN_VALUE / 2);
      boolean ofThisTerm = offer.termRevision() == context.term().revision();
      if (!ofThisTerm || now() - since > OFFER_TIMEOUT_MICROS) {
        withdrawOffer(machine);
      }
    } else if (offer.to().equals(ownShard)) {
      if (!offer.digest().equals(sharing.digest()) && !digestMismatchLogged) {
        digestMismatchLogged = true;
        log.warn(
            "shard {} has a different sharing file: its offers are not accepted until they match",
            record.owner());
      }
    }
  }

  private void withdrawOffer(String machine) {
    steps.step(
        machine,
        () ->
            steps
                .record(machine)
                .filter(record -> record.owner().equals(ownShard) && record.offer().isPresent())
                .map(record -> steps.replaceRecord(machine, record.withdrawn())),
        () -> {
          Machine kept = fleet.machine(machine);
          if (kept != null && steps.record(machine).flatMap(TransferRecord::offer).isEmpty()) {
            kept.setTransferring(false);
            offeredMicros.remove(machine);
          }
        });
  }
}
