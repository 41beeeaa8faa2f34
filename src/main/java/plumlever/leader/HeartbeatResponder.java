package plumlever.leader;

import plumlever.fleet.Fleet;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.machine.MachineRegistry;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;

/** Applies a worker's heartbeat and answers it. */
final class HeartbeatResponder {
  private final TermContext context;
  private final Fleet fleet;
  private final HeartbeatHandler heartbeats;
  private final MachineRegistry registry;
  private final MachineSharing sharing;
  private final SchedulingPasses passes;
  private final Failover failover;
  private final HeartbeatScreening screening;
  private final LeaseRenewalResponder renewals;
  private final PreemptionNotices preemptionNotices;

  HeartbeatResponder(
      TermContext context,
      Fleet fleet,
      HeartbeatHandler heartbeats,
      MachineRegistry registry,
      MachineSharing sharing,
      SchedulingPasses passes,
      Failover failover,
      HeartbeatScreening screening,
      LeaseRenewalResponder renewals) {
    this.context = context;
    this.fleet = fleet;
    this.heartbeats = heartbeats;
    this.registry = registry;
    this.sharing = sharing;
    this.passes = passes;
    this.failover = failover;
    this.screening = screening;
    this.renewals = renewals;
    this.preemptionNotices = new PreemptionNotices(context);
  }

  /**
   * Called once the records of earlier leaders have been loaded; from now on heartbeats are
   * applied.
   */
  void recordsLoaded() {
    screening.recordsLoaded();
  }

  /** Answers the heartbeat, immediately or once the records are loaded. */
  void respond(Heartbeat heartbeat, Responder out) {
    if (screening.respondOrDefer(heartbeat, out)) {
      return;
    }
    Machine machine = findOrAddMachine(heartbeat);
    if (fleet.tokensNearlyExhausted(machine)) {
      context.resignForExhaustedNumbers();
    }
    HeartbeatHandler.Freshness freshness =
        heartbeats.apply(machine, heartbeat, HeartbeatSource.WORKER);
    if (heartbeats.getAndClearPlacementChanged()) {
      passes.request();
    }
    if (freshness == HeartbeatHandler.Freshness.DUPLICATE
        || freshness == HeartbeatHandler.Freshness.SUPERSEDED
            && failover.runsUntrackedTasks(machine)) {
      // The tasks of ended jobs that only the newer message lists would not be stopped.
      context.metrics().count("heartbeat_copies");
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "a newer report is known", 1);
    } else if (machine.contact().unreachable()) {
      // The machine sends heartbeats but does not receive the responses, so the renewal is
      // refused. Every renewal sent would extend the lease in this leader's view. The lease would
      // never be considered expired, and the machine's tasks could never be started elsewhere.
      out.retryLater(HttpStatus.SERVICE_UNAVAILABLE, "answers do not arrive", 1);
    } else {
      boolean newest = freshness == HeartbeatHandler.Freshness.LATEST;
      registerIfUnregistered(machine, heartbeat);
      if (newest) {
        preemptionNotices.apply(machine, heartbeat);
      }
      sharing.heartbeatApplied(machine, heartbeat);
      renewals.respond(machine, heartbeat, newest, out);
    }
  }

  /**
   * Called after the response to a direct call, which lists all tasks on the machine, has been
   * applied as its newest state.
   */
  void directResponseApplied(Machine machine, Heartbeat response) {
    renewals.directResponseApplied(machine, response);
  }

  /** Returns the machine of the heartbeat; adds the machine to the fleet if it is unknown. */
  private Machine findOrAddMachine(Heartbeat heartbeat) {
    Machine machine = fleet.machine(heartbeat.machineId());
    if (machine == null) {
      machine =
          new Machine(
              heartbeat.machineId(),
              heartbeat.endpoint(),
              heartbeat.machineType(),
              heartbeat.zone(),
              heartbeat.spot(),
              context.loop().nowMicros());
      fleet.add(machine);
    }
    machine.setEndpointIfUnknown(heartbeat.endpoint());
    return machine;
  }

  /**
   * Adds the machine to the stored record of machines if it is not there yet. A heartbeat with a
   * token of an earlier term may be a delayed duplicate from a machine that no longer exists, and
   * does not add it.
   */
  private void registerIfUnregistered(Machine machine, Heartbeat heartbeat) {
    if (machine.registration() == RegistrationState.NONE
        && !machine.returning()
        && (machine.accounted() || heartbeat.fencingToken() == 0)) {
      registry.register(machine);
    }
  }
}
