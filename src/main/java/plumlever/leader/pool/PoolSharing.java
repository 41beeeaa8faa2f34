package plumlever.leader.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.concurrent.RecurringTask;
import plumlever.concurrent.Scope;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.machine.MachineRegistry;
import plumlever.leader.scheduling.CommandSender;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.lease.ForeignTaskEvidence;
import plumlever.scaling.RentalPlan;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.LimitParts;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.store.StateClient;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.Json;
import plumlever.wire.ListedMachine;
import plumlever.wire.ProtocolField;
import plumlever.wire.RelayedHeartbeat;
import plumlever.wire.WorkerCommand;

/** Shares machines and team limits with the other shards of a pool during one term of a leader. */
public final class PoolSharing implements MachineSharing {
  private static final long RUN_INTERVAL_MICROS = 500_000;

  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final Fleet fleet;
  private final MachineRegistry registry;
  private final HeartbeatHandler heartbeats;
  private final Runnable onChange;
  private final Scope scope = new Scope();
  private final PoolRecordWatch recordWatch;
  private final PoolView view;
  private final PoolWriter writer;
  private final OwnerClaims claims;
  private final ForeignTasks foreignTasks;
  private final MachineTransfers transfers;
  private final DeadShardAdoption adoption;
  private final LimitSharing limitSharing;
  private final MachineShareBalancer balancer;
  private boolean poolRecordsRead;

  /** Creates the sharing of one term; heartbeats are refused until the pool's records are read. */
  public PoolSharing(
      TermContext context,
      SharingSettings sharing,
      Fleet fleet,
      ActiveJobs jobs,
      MachineRegistry registry,
      HeartbeatHandler heartbeats,
      SchedulingPass pass,
      Failover failover,
      CommandSender commands,
      Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(PoolSharing.class);
    this.sharing = sharing;
    this.fleet = fleet;
    this.registry = registry;
    this.heartbeats = heartbeats;
    this.onChange = onChange;
    this.recordWatch = new PoolRecordWatch(context, this::recordsChanged);
    this.view = recordWatch.view();
    this.writer = new PoolWriter(context, recordWatch, this::recordsChanged);
    this.claims = new OwnerClaims(context, sharing, view, writer);
    this.foreignTasks = new ForeignTasks(context, sharing, view);
    TransferSteps steps = new TransferSteps(context, sharing.ownShard().name(), view, writer);
    this.transfers =
        new MachineTransfers(
            context,
            sharing,
            fleet,
            jobs,
            heartbeats,
            registry,
            pass,
            view,
            steps,
            foreignTasks,
            failover,
            commands::sendToken);
    this.adoption = new DeadShardAdoption(context, sharing, recordWatch, steps, transfers::acquire);
    this.limitSharing = new LimitSharing(context, sharing, jobs, failover, view, writer);
    this.balancer =
        new MachineShareBalancer(
            context, sharing, fleet, pass, failover, view, transfers, limitSharing);
  }

  @Override
  public boolean inPool() {
    return true;
  }

  @Override
  public void poolRecordsRead(StateClient.Listing pool, long sentMicros) {
    recordWatch.load(pool, sentMicros);
    poolRecordsRead = true;
    List<String> unclaimed = new ArrayList<>();
    for (Machine machine : List.copyOf(fleet.machines())) {
      Optional<String> holder = view.holder(machine.id());
      if (holder.isEmpty()) {
        unclaimed.add(machine.id());
      } else if (claims.isRetired(machine.id())) {
        machine.setReturning(true);
      } else if (!transfers.owns(machine.id())) {
        registry.remove(machine);
        fleet.remove(machine);
      }
    }
    transfers.reconcile();
    if (!unclaimed.isEmpty()) {
      claims.claim(
          unclaimed,
          claimed -> log.info("claimed machine {}, which this shard's own records list", claimed));
    }
    scope.own(writer::close);
    scope.own(recordWatch::close);
    scope.own(foreignTasks::close);
    scope.own(new RecurringTask("sharing", context.loop(), this::run)).start();
  }

  private void recordsChanged() {
    if (poolRecordsRead) {
      transfers.reconcile();
      onChange.run();
    }
  }

  private long run() {
    if (context.term().mayAct()) {
      adoption.watchLeaders();
      transfers.reconcile();
      limitSharing.run();
      balancer.run();
    }
    return RUN_INTERVAL_MICROS;
  }

  @Override
  public boolean isOwn(ListedMachine listed) {
    if (transfers.owns(listed.id()) || claims.isRetired(listed.id())) {
      return true;
    }
    claims.noteUnownedMachine(listed.id());
    adoption.machineListed(listed);
    return false;
  }

  @Override
  public boolean isRecordedForReturn(String machine) {
    return claims.isRetired(machine);
  }

  @Override
  public boolean respondUnlessOwn(Heartbeat heartbeat, Responder out) {
    String machine = heartbeat.machineId();
    if (!poolRecordsRead) {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "whose machine this is is not known yet", 1);
      return true;
    }
    if (transfers.owns(machine)) {
      return refuseIfStale(heartbeat, out);
    }
    Optional<String> holder = view.holder(machine);
    if (holder.isEmpty()) {
      claims.noteUnownedMachine(machine);
    }
    Optional<String> leader = holder.flatMap(view::leader);
    if (leader.isPresent() && !leader.get().equals(context.platform().label())) {
      out.send(
          HttpStatus.MISDIRECTED_REQUEST,
          Json.write(Json.object().put(ProtocolField.LEADER, leader.get())));
    } else {
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "nobody answers for this machine now", 1);
    }
    return true;
  }

  private boolean refuseIfStale(Heartbeat heartbeat, Responder out) {
    Machine machine = fleet.machine(heartbeat.machineId());
    if (machine != null && Fleet.termOf(heartbeat.fencingToken()) > machine.tokens().term()) {
      // The machine has seen the token of a later owner or leader that this controller has not yet
      // read from the pool's records.
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "a newer owner is known to the machine", 1);
      return true;
    }
    boolean viewIsOld =
        context.loop().nowMicros() - recordWatch.lastReadMicros()
            > MachineTransfers.MAX_VIEW_AGE_MICROS;
    if (machine != null && machine.transferring() && viewIsOld) {
      out.retryLater(
          HttpStatus.SERVICE_UNAVAILABLE, "the machine may have another owner by now", 1);
      return true;
    }
    return false;
  }

  @Override
  public void claimRented(List<String> machines, Consumer<String> claimed) {
    claims.claim(machines, claimed);
  }

  @Override
  public void recordReturns(List<Machine> machines, Runnable recorded) {
    claims.retire(machines, recorded);
  }

  @Override
  public void machinesReturned(List<Machine> machines) {
    machines.forEach(foreignTasks::remove);
    claims.recordReturned(machines);
  }

  @Override
  public boolean isForeign(Machine machine, long attempt) {
    return foreignTasks.isForeign(machine, attempt);
  }

  @Override
  public void heartbeatApplied(Machine machine, Heartbeat heartbeat) {
    foreignTasks.heartbeatApplied(machine, heartbeat);
  }

  @Override
  public ForeignTaskEvidence foreignTaskEvidence(Machine machine) {
    return foreignTasks.evidence(machine);
  }

  @Override
  public List<WorkerCommand> foreignTaskCommands(Machine machine, Heartbeat heartbeat) {
    return foreignTasks.commands(machine, heartbeat);
  }

  @Override
  public void leaseExpired(Machine machine) {
    foreignTasks.leaseExpired(machine);
  }

  @Override
  public void respondToRelayed(RelayedHeartbeat relayed, Responder out) {
    String id = relayed.heartbeat().machineId();
    Optional<TransferRecord> record =
        poolRecordsRead ? view.transfer(id).map(PoolView.Versioned::value) : Optional.empty();
    Machine machine = poolRecordsRead ? fleet.transferredMachine(id) : null;
    boolean recordMatches =
        record.isPresent()
            && record.get().hasTasksOf(sharing.ownShard().name())
            && record.get().owner().equals(relayed.owningShard())
            && relayed.ownershipNumber() >= record.get().number();
    if (machine == null || !recordMatches || !context.term().mayAct()) {
      out.retryLater(
          HttpStatus.SERVICE_UNAVAILABLE, "tasks on this machine are not known here now", 1);
      return;
    }
    machine.tokens().startTerm(relayed.ownershipNumber());
    boolean applied;
    if (relayed.leaseExpired()) {
      if (machine.load().mayRunTasks()) {
        log.info(
            "lease of machine {} incarnation {} has expired according to its owner {}, ownership"
                + " number {}: its {} attempts are ended",
            id,
            machine.contact().incarnation(),
            relayed.owningShard(),
            relayed.ownershipNumber(),
            machine.load().liveAttempts());
      }
      heartbeats.endAllAttempts(machine);
      applied = true;
    } else {
      applied =
          heartbeats.applyRelayed(machine, relayed.heartbeat())
              == HeartbeatHandler.Freshness.LATEST;
    }
    if (applied && relayed.heartbeat().attempts().isEmpty()) {
      transfers.noOwnTasksReported(machine);
    }
    List<WorkerCommand> commands =
        relayed.leaseExpired()
            ? List.of()
            : heartbeats.stopAndRemoveCommands(machine, relayed.heartbeat());
    if (heartbeats.getAndClearPlacementChanged()) {
      onChange.run();
    }
    out.send(HttpStatus.OK, WorkerCommand.relayedResponse(commands));
  }

  @Override
  public boolean offerTransfer(String machine, String shard) {
    Machine found = poolRecordsRead ? fleet.machine(machine) : null;
    boolean known = sharing.otherShards().stream().anyMatch(other -> other.name().equals(shard));
    if (found == null || !known || !context.term().mayAct() || !transfers.canOffer(found)) {
      return false;
    }
    transfers.offer(found, shard);
    return true;
  }

  @Override
  public boolean mayRent() {
    return balancer.mayRent();
  }

  @Override
  public boolean mayReturnIdle() {
    return balancer.mayReturnIdle();
  }

  @Override
  public List<RentalPlan.RentalOption> incomingMachines() {
    return balancer.incomingMachines();
  }

  @Override
  public LimitParts.Part teamLimit(PlatformConfiguration.Team team) {
    return limitSharing.limit(team);
  }

  @Override
  public void close() {
    scope.close();
  }
}
