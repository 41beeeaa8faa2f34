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
 * Carries transfers on, from whatever state the records show: offers this shard's machines, takes
 * what others offer, and settles what is left of its tasks on machines that others own. Each state
 * can be taken up by the next leader of either shard.
 */
final class MachineTransfers {
  /** An offer that nobody takes is withdrawn after this. */
  private static final long OFFER_MICROS = 8_000_000;

  /**
   * A machine on offer is answered only while what is known of its record is not older, so that the
   * taker knows how long the former owner may have renewed its lease.
   */
  static final long OFFER_VIEW_MICROS = 5_000_000;

  private static final double BOOT_MARGIN = 1.3;

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final String own;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final HeartbeatHandler heartbeats;
  private final MachineRegistry registry;
  private final SchedulingPass pass;
  private final PoolView view;
  private final TransferSteps steps;
  private final OfferAcceptance offerTaker;
  private final ForeignTasks foreignTasks;
  private final Failover failover;
  private final Consumer<Machine> sendToken;
  private final Map<String, Long> offeredMicros = new HashMap<>();

  /** Machines of other shards that were seen without any task of this one. */
  private final Set<String> seenWithoutOwnTasks = new HashSet<>();

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
    this.log = context.logs().of(MachineTransfers.class);
    this.sharing = sharing;
    this.own = sharing.ownShard().name();
    this.fleet = fleet;
    this.jobs = jobs;
    this.heartbeats = heartbeats;
    this.registry = registry;
    this.pass = pass;
    this.view = view;
    this.steps = steps;
    this.offerTaker = new OfferAcceptance(sharing, view, steps, this::acquire);
    this.foreignTasks = foreignTasks;
    this.failover = failover;
  }

  private long now() {
    return context.loop().nowMicros();
  }

  /** True while the records show the machine as this shard's. */
  boolean owns(String machine) {
    return view.holder(machine).equals(Optional.of(own));
  }

  /** Transfers that this shard has offered and nobody has taken yet. */
  int openOffers() {
    return offeredMicros.size();
  }

  /** Offers to the shard that it has not taken yet. */
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

  /**
   * Brings machines and records in line: run whenever the records have changed, and now and then.
   */
  void reconcile() {
    for (Map.Entry<String, PoolView.Versioned<TransferRecord>> entry :
        List.copyOf(view.transfers().entrySet())) {
      TransferRecord record = entry.getValue().value();
      if (record.state() == TransferRecord.State.GONE) {
        reconcileGone(record);
      } else if (record.owner().equals(own)) {
        if (owns(entry.getKey())) {
          reconcileOwned(record);
        }
      } else if (record.hasTasksOf(own)) {
        reconcileElsewhere(record);
      } else {
        reconcileLost(record);
      }
      if (record.state() == TransferRecord.State.OFFERED) {
        offered(record);
      }
    }
    for (String machine : List.copyOf(offeredMicros.keySet())) {
      if (view.transfer(machine).isEmpty() && !owns(machine) && !steps.isUnderWay(machine)) {
        releaseWithoutRecord(machine);
      }
    }
    offerTaker.takeOffers();
  }

  /** It was taken without a task of this shard on it, so no record is left. */
  private void releaseWithoutRecord(String id) {
    Machine machine = fleet.machine(id);
    offeredMicros.remove(id);
    if (machine != null) {
      release(machine);
      fleet.remove(machine);
    }
  }

  /** A machine of this shard: taken from another, or on offer. */
  private void reconcileOwned(TransferRecord record) {
    Machine machine = acquire(record);
    if (record.state() == TransferRecord.State.TAKEN && !steps.isUnderWay(machine.id())) {
      machine.setTransferring(false);
      offeredMicros.remove(machine.id());
    } else {
      machine.setTransferring(true);
    }
    foreignTasks.update(machine, record);
    if (record.isSettled()) {
      dropSettledRecord(record.machine().id());
    }
  }

  /** The machine as this shard's, under the number of the record at least. */
  Machine acquire(TransferRecord record) {
    Machine machine = fleet.machine(record.machine().id());
    if (machine == null) {
      return addAcquired(record);
    }
    if (machine.tokens().term() < record.number()) {
      // It went and came back before this was seen.
      machine.tokens().startTerm(record.number());
      machine.markUnaccounted();
      machine.contact().recordRenewalElsewhere(now() + OFFER_VIEW_MICROS);
      sendToken.accept(machine);
    } else if (!machine.accounted() && machine.contact().renewedElsewhereMicros() < 0) {
      machine.contact().recordRenewalElsewhere(now() + OFFER_VIEW_MICROS);
    }
    return machine;
  }

  private Machine addAcquired(TransferRecord record) {
    TransferRecord.Details details = record.machine();
    Machine machine = fleet.transferredMachine(details.id());
    seenWithoutOwnTasks.remove(details.id());
    if (machine != null) {
      fleet.removeTransferred(machine);
      machine.markUnaccounted();
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
    machine.tokens().startTerm(record.number());
    machine.contact().recordRenewalElsewhere(now() + OFFER_VIEW_MICROS);
    fleet.add(machine);
    registry.register(machine);
    sendToken.accept(machine);
    context.metrics().count("machines_taken");
    log.info(
        "{} is this cell's now, {} cells have tasks on it",
        details.id(),
        record.tasksByShard().size());
    return machine;
  }

  /** It is up already, so it is known for at least as long as it takes to boot. */
  private long bootMicros(String machineType) {
    MachineType known = context.prices().machineType(machineType);
    return known == null ? 0 : (long) (known.startupS() * BOOT_MARGIN * 1e6);
  }

  /** Another shard's machine on which tasks of this one may be. */
  private void reconcileElsewhere(TransferRecord record) {
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
    leaveRecordIfOver(machine);
  }

  /** What an earlier leader of this shard left running there. */
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
    machine.contact().raiseIncarnation(record.incarnation());
    machine.markAccounted();
    for (ForeignTask foreignTask : record.tasksByShard().get(own)) {
      Job job = jobs.get(foreignTask.task().job());
      int task = foreignTask.task().number();
      boolean open =
          job != null
              && !job.over()
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
        "{} is another cell's now, {} tasks stay on it",
        machine.id(),
        machine.load().liveAttempts());
  }

  /** Another shard's machine without tasks of this one. */
  private void reconcileLost(TransferRecord record) {
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
      seenWithoutOwnTasks.add(machine.id());
    }
    if (record.hasTasksOf(own)) {
      if (machine == null) {
        leaveRecord(record.machine().id());
      } else {
        leaveRecordIfOver(machine);
      }
    }
  }

  /** The owner has passed on a heartbeat of the machine that lists no task of this shard. */
  void ownTasksGone(Machine machine) {
    seenWithoutOwnTasks.add(machine.id());
    leaveRecordIfOver(machine);
  }

  /** Once none of this shard's tasks can be on the other's machine, the record says so. */
  private void leaveRecordIfOver(Machine machine) {
    boolean nothingThere =
        seenWithoutOwnTasks.contains(machine.id())
            || steps
                .record(machine.id())
                .filter(record -> record.tasksByShard().getOrDefault(own, List.of()).isEmpty())
                .isPresent();
    if (nothingThere && machine.load().hasNoAttempts()) {
      leaveRecord(machine.id());
    }
  }

  private void leaveRecord(String machine) {
    steps.step(
        machine,
        () ->
            steps
                .record(machine)
                .filter(record -> record.hasTasksOf(own))
                .map(record -> steps.replaced(machine, record.withoutTasksOf(own))),
        () -> {
          Machine reconcileElsewhere = fleet.transferredMachine(machine);
          if (reconcileElsewhere != null
              && steps.record(machine).filter(record -> record.hasTasksOf(own)).isEmpty()) {
            fleet.removeTransferred(reconcileElsewhere);
            seenWithoutOwnTasks.remove(machine);
          }
        });
  }

  private void dropSettledRecord(String machine) {
    steps.step(
        machine,
        () ->
            steps
                .record(machine)
                .filter(record -> record.owner().equals(own) && record.isSettled())
                .map(record -> steps.transaction().drop(TransferRecord.keyOf(machine))),
        () -> {
          Machine settled = fleet.machine(machine);
          if (settled != null && view.transfer(machine).isEmpty()) {
            foreignTasks.remove(settled);
          }
        });
  }

  /** True if the machine can be given away as it is. */
  boolean canOffer(Machine machine) {
    return owns(machine.id())
        && machine.contact().hasReported()
        && machine.accounted()
        && machine.endpoint() != null
        && !machine.transferring()
        && !machine.draining()
        && !machine.returning()
        && !machine.failed()
        && !machine.contact().unreachable()
        && !machine.contact().commandInFlight()
        && !machine.load().hasUnconfirmedStart()
        && !failover.runsUntracked(machine)
        && !steps.isUnderWay(machine.id());
  }

  /** Gives the machine up to that shard; nothing is started on it from here on. */
  void offer(Machine machine, String to) {
    machine.setTransferring(true);
    pass.dropPlan(machine);
    offeredMicros.put(machine.id(), now());
    context.metrics().count("machines_offered");
    log.info(
        "{} is offered to {}, {} tasks run on it", machine.id(), to, machine.load().liveAttempts());
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
      tasksByShard.put(own, foreignTasksOf(machine));
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
            own,
            Math.max(machine.tokens().term(), before.map(TransferRecord::number).orElse(0L)),
            new TransferRecord.Offer(to, context.term().revision(), sharing.digest()),
            tasksByShard);
    int bytes = Json.write(offer.toJson()).getBytes(StandardCharsets.UTF_8).length;
    if (bytes > context.layout().valueBytes()) {
      log.info("{} holds too many tasks for one record and is not offered", machine.id());
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

  /** An offer stands: its giver sees to it that it ends, its taker takes it. */
  private void offered(TransferRecord record) {
    String machine = record.machine().id();
    TransferRecord.Offer offer = record.offer().orElseThrow();
    if (record.owner().equals(own)) {
      long since = offeredMicros.getOrDefault(machine, Long.MIN_VALUE / 2);
      boolean ofThisTerm = offer.termRevision() == context.term().revision();
      if (!ofThisTerm || now() - since > OFFER_MICROS) {
        withdraw(machine);
      }
    } else if (offer.to().equals(own)) {
      if (!offer.digest().equals(sharing.digest()) && !digestMismatchLogged) {
        digestMismatchLogged = true;
        log.warn(
            "{} offers machines under another sharing file: none is taken until all are the same",
            record.owner());
      }
    }
  }

  private void withdraw(String machine) {
    steps.step(
        machine,
        () ->
            steps
                .record(machine)
                .filter(record -> record.owner().equals(own) && record.offer().isPresent())
                .map(record -> steps.replaced(machine, record.withdrawn())),
        () -> {
          Machine kept = fleet.machine(machine);
          if (kept != null && steps.record(machine).flatMap(TransferRecord::offer).isEmpty()) {
            kept.setTransferring(false);
            offeredMicros.remove(machine);
          }
        });
  }
}
