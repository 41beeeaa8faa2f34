package plumlever.leader.scheduling;

import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;

/** Decides which machines are available for placement. */
final class MachineAvailability {
  private final TermContext context;
  private final Failover failover;

  MachineAvailability(TermContext context, Failover failover) {
    this.context = context;
    this.failover = failover;
  }

  /**
   * True if tasks may start on the machine now. Machines with a missed heartbeat are excluded
   * because they may have failed. Machines with an unanswered direct command are excluded because
   * the command (sent in a call to the worker) may have started tasks.
   */
  boolean acceptsTasks(Machine machine, long nowMicros) {
    return machine.registration() == RegistrationState.STORED
        && machine.accounted()
        && !machine.draining()
        && !machine.returning()
        && !machine.transferring()
        && !machine.contact().unreachable()
        && !machine.load().hasUnconfirmedStart()
        && nowMicros - lastHeartbeatOrTermStartMicros(machine)
            < context.platform().workers().missedHeartbeatMicros();
  }

  /**
   * Time of the machine's last heartbeat in this term, or the start of the term if there was none.
   * After a failover, the leader learns the tasks of machines by calling them, before their own
   * heartbeats arrive. Without the start of the term as a substitute, the fleet would appear to
   * have no free capacity, and the leader would rent machines that are not needed.
   */
  private long lastHeartbeatOrTermStartMicros(Machine machine) {
    return machine.contact().hasSentHeartbeat()
        ? machine.contact().lastHeartbeatMicros()
        : failover.startedMicros();
  }

  /**
   * True for a machine that is rented but has not reported yet, or has reported but whose
   * registration is not stored yet.
   */
  boolean isComingUp(Machine machine, long nowMicros) {
    // The machine should by now have reported the tasks that earlier leaders started on it. It is
    // probably gone or partitioned, so placement must not rely on it.
    if (failover.isOverdue(nowMicros) && failover.unaccounted().contains(machine)) {
      return false;
    }
    return !machine.returning()
        && !machine.failed()
        && !machine.draining()
        && (!machine.contact().hasSentHeartbeat()
            || machine.registration() != RegistrationState.STORED)
        && machine.accounted() == machine.contact().hasSentHeartbeat();
  }
}
