package plumlever.leader;

import plumlever.fleet.Fleet;
import plumlever.fleet.HeartbeatSource;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.http.Responder;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.machine.MachineRegistry;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;

/** Takes a worker's heartbeat in and answers it. */
final class HeartbeatResponder {
  private final TermContext context;
  private final Fleet fleet;
  private final HeartbeatHandler heartbeats;
  private final MachineRegistry registry;
  private final MachineSharing sharing;
  private final SchedulingPasses passes;
  private final HeartbeatScreening screening;
  private final LeaseRenewalResponder renewals;
  private final PreemptionNotices notices;

  HeartbeatResponder(
      TermContext context,
      Fleet fleet,
      HeartbeatHandler heartbeats,
      MachineRegistry registry,
      MachineSharing sharing,
      SchedulingPasses passes,
      HeartbeatScreening screening,
      LeaseRenewalResponder renewals) {
    this.context = context;
    this.fleet = fleet;
    this.heartbeats = heartbeats;
    this.registry = registry;
    this.sharing = sharing;
    this.passes = passes;
    this.screening = screening;
    this.renewals = renewals;
    this.notices = new PreemptionNotices(context);
  }

  /** What earlier leaders left is known from now on. */
  void recordsLoaded() {
    screening.recordsLoaded();
  }

  /** Answers the heartbeat, now or once the records are loaded. */
  void respond(Heartbeat heartbeat, Responder out) {
    if (screening.answered(heartbeat, out)) {
      return;
    }
    Machine machine = machineOf(heartbeat);
    if (fleet.tokensRunOut(machine)) {
      context.resignForNumbers();
    }
    HeartbeatHandler.Freshness freshness =
        heartbeats.apply(machine, heartbeat, HeartbeatSource.WORKER);
    if (heartbeats.getAndClearChanged()) {
      passes.request();
    }
    if (freshness == HeartbeatHandler.Freshness.DUPLICATE) {
      context.metrics().count("heartbeat_copies");
      out.retryLater(HttpStatus.UNAVAILABLE, "a newer report is known", 1);
    } else if (machine.contact().unreachable()) {
      // Were it answered, its lease would count as renewed for ever, and nobody else could have its
      // tasks.
      out.retryLater(HttpStatus.UNAVAILABLE, "answers do not arrive", 1);
    } else {
      boolean newest = freshness == HeartbeatHandler.Freshness.LATEST;
      enrollIfUnrecorded(machine, heartbeat);
      if (newest) {
        notices.apply(machine, heartbeat);
      }
      sharing.heartbeatApplied(machine, heartbeat);
      renewals.respond(machine, heartbeat, newest, out);
    }
  }

  /** The machine of the heartbeat, which may be heard of for the first time. */
  private Machine machineOf(Heartbeat heartbeat) {
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
    machine.learnEndpoint(heartbeat.endpoint());
    return machine;
  }

  /**
   * A heartbeat that shows an earlier term may be a late copy of a machine that is gone: nothing is
   * recorded for it.
   */
  private void enrollIfUnrecorded(Machine machine, Heartbeat heartbeat) {
    if (machine.registration() == RegistrationState.NONE
        && !machine.returning()
        && (machine.accounted() || heartbeat.fencingToken() == 0)) {
      registry.register(machine);
    }
  }
}
