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
 * Ends the attempts on machines whose lease has certainly expired: no controller can have renewed
 * the lease for its full duration, whatever the machine may have reported.
 */
final class LeaseExpiry {
  /** Safety margin added to a lease, for a response in transit and a late timer. */
  private static final long MARGIN_MICROS = 1_500_000;

  /** Bound on the combined drift of the clocks of worker and controller, as a fraction. */
  private static final double CLOCK_DRIFT = 0.002;

  private final Logger log;
  private final TermContext context;
  private final HeartbeatHandler heartbeats;
  private final RenewalDelegation delegation;
  private final Failover failover;
  private final MachineSharing sharing;
  private final Runnable onChange;

  /**
   * @param onChange runs when something changed that placement depends on
   */
  LeaseExpiry(
      TermContext context,
      HeartbeatHandler heartbeats,
      RenewalDelegation delegation,
      Failover failover,
      MachineSharing sharing,
      Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(LeaseExpiry.class);
    this.heartbeats = heartbeats;
    this.delegation = delegation;
    this.failover = failover;
    this.sharing = sharing;
    this.onChange = onChange;
  }

  /** Ends all attempts that may run on the machine if its lease has certainly expired. */
  void endIfExpired(Machine machine, long now) {
    if (now < expiresMicros(machine)) {
      return;
    }
    boolean mayRunTasks = machine.load().mayRunTasks();
    heartbeats.endAllAttempts(machine);
    sharing.leaseExpired(machine);
    if (mayRunTasks) {
      log.info("lease of machine {} has expired, its attempts are ended", machine.id());
      onChange.run();
    }
    if (!machine.accounted()) {
      failover.markAccounted(machine, "its lease has expired");
      onChange.run();
    }
  }

  private long expiresMicros(Machine machine) {
    if (delegation.isDelegated(machine.zone())) {
      return Long.MAX_VALUE;
    }
    // Latest time at which another controller may have renewed the lease; this leader does not see
    // those renewals. An earlier leader may have renewed it until this leader loaded the machines,
    // a delegate until its delegation was revoked. VALID_MICROS is added because a delegate may
    // keep using a delegation for that long after it sent its last read of it.
    long renewedByOthersMicros =
        Math.max(failover.loadedMicros(), delegation.revokedMicros(machine.zone()))
            + DelegatedRenewal.VALID_MICROS;
    long renewedMicros =
        Math.max(
            Math.max(renewedByOthersMicros, machine.contact().formerOwnerRenewalMicros()),
            machine.contact().lastRenewalMicros());
    return renewedMicros
        + (long) (context.platform().workers().leaseMicros() * (1 + CLOCK_DRIFT))
        + MARGIN_MICROS;
  }
}
