package plumlever.leader.machine;

import org.slf4j.Logger;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.RenewalDelegation;

/**
 * Ends what ran on machines whose lease has surely expired: nobody can have renewed it for so long,
 * whatever the machine may have reported.
 */
final class LeaseExpiry {
  /** Added to a lease: an answer on its way, a late timer. */
  private static final long MARGIN_MICROS = 1_500_000;

  /** Part by which the clocks of worker and controller together may drift. */
  private static final double CLOCK_DRIFT = 0.002;

  private final Logger log;
  private final TermContext context;
  private final HeartbeatHandler heartbeats;
  private final RenewalDelegation delegation;
  private final Failover failover;
  private final MachineSharing sharing;
  private final Runnable changed;

  /**
   * @param changed runs when something changed that placement depends on
   */
  LeaseExpiry(
      TermContext context,
      HeartbeatHandler heartbeats,
      RenewalDelegation delegation,
      Failover failover,
      MachineSharing sharing,
      Runnable changed) {
    this.context = context;
    this.log = context.logs().of(LeaseExpiry.class);
    this.heartbeats = heartbeats;
    this.delegation = delegation;
    this.failover = failover;
    this.sharing = sharing;
    this.changed = changed;
  }

  /** Ends what may run on the machine if its lease has surely expired by now. */
  void endIfExpired(Machine machine, long now) {
    if (now < expiresMicros(machine)) {
      return;
    }
    boolean mayRunTasks = machine.load().mayRunTasks();
    heartbeats.endAllAttempts(machine);
    sharing.leaseExpired(machine);
    if (mayRunTasks) {
      log.info("the lease of {} has expired", machine.id());
      changed.run();
    }
    if (!machine.accounted()) {
      failover.markAccounted(machine, "its lease expired");
      changed.run();
    }
  }

  private long expiresMicros(Machine machine) {
    if (delegation.isDelegated(machine.zone())) {
      return Long.MAX_VALUE;
    }
    // An answer of this term renewed the lease at the latest; before the first, an earlier leader
    // may have, or a delegate of its, whose last read of the delegation stays valid for a while.
    long renewedByOthersMicros =
        Math.max(failover.loadedMicros(), delegation.revokedMicros(machine.zone()))
            + DelegatedRenewal.VALID_MICROS;
    long renewedMicros =
        Math.max(
            Math.max(renewedByOthersMicros, machine.contact().renewedElsewhereMicros()),
            machine.contact().lastRenewalMicros());
    return renewedMicros
        + (long) (context.platform().workers().leaseMicros() * (1 + CLOCK_DRIFT))
        + MARGIN_MICROS;
  }
}
