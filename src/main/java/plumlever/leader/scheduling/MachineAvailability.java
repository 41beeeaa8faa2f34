package plumlever.leader.scheduling;

import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;

/** Which machines tasks may be planned for. */
final class MachineAvailability {
  private final TermContext context;
  private final Failover failover;

  MachineAvailability(TermContext context, Failover failover) {
    this.context = context;
    this.failover = failover;
  }

  /**
   * True if tasks may start on the machine now. A machine that missed a heartbeat may be gone, and
   * one with an unanswered direct command may have carried it out.
   */
  boolean acceptsTasks(Machine machine, long nowMicros) {
    return machine.registration() == RegistrationState.STORED
        && machine.accounted()
        && !machine.draining()
        && !machine.returning()
        && !machine.transferring()
        && !machine.contact().unreachable()
        && !machine.load().hasUnconfirmedStart()
        && nowMicros - lastSignMicros(machine)
            < context.platform().workers().missedHeartbeatMicros();
  }

  /**
   * A new leader has the machines' answers to its direct calls before their own heartbeats; without
   * those machines there would seem to be no free capacity, and more would be rented.
   */
  private long lastSignMicros(Machine machine) {
    return machine.contact().hasReported()
        ? machine.contact().lastHeartbeatMicros()
        : failover.startedMicros();
  }

  /** True for a machine that is rented and not up yet, or up and not yet on record. */
  boolean isComingUp(Machine machine, long nowMicros) {
    if (failover.isOverdue(nowMicros) && failover.unaccounted().contains(machine)) {
      return false;
    }
    return !machine.returning()
        && !machine.failed()
        && !machine.draining()
        && (!machine.contact().hasReported() || machine.registration() != RegistrationState.STORED)
        && machine.accounted() == machine.contact().hasReported();
  }
}
