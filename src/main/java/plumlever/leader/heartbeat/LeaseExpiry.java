package plumlever.leader.heartbeat;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Machine;
import plumlever.fleet.MachineContact;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.lease.ExpiryEvidence;
import plumlever.lease.LeaseExpiryBound;

/**
 * Ends the attempts on machines whose lease has certainly expired: no controller can have renewed
 * the lease for its full duration, and the incarnation of the worker began longer ago than that.
 */
public final class LeaseExpiry {
  private final Logger log;
  private final TermContext context;
  private final HeartbeatHandler heartbeats;
  private final RenewalDelegation delegation;
  private final Failover failover;
  private final MachineSharing sharing;
  private final LeaseExpiryBound bound;
  private final Runnable onChange;

  /**
   * Creates the component for one term.
   *
   * @param onChange runs when something changed that placement depends on
   */
  public LeaseExpiry(
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
    this.bound = new LeaseExpiryBound(context.platform().workers());
    this.onChange = onChange;
  }

  /** Ends all attempts that may run on the machine if its lease has certainly expired. */
  public void endIfExpired(Machine machine, long now) {
    ExpiryEvidence evidence = evidence(machine);
    if (!bound.hasExpired(evidence, now)) {
      return;
    }
    boolean mayRunTasks = machine.load().mayRunTasks();
    if (mayRunTasks || !machine.accounted()) {
      logExpiry(machine, mayRunTasks ? Level.INFO : Level.DEBUG, evidence, now);
    }
    heartbeats.endAllAttempts(machine);
    sharing.leaseExpired(machine);
    if (mayRunTasks) {
      context.metrics().count("leases_expired_with_tasks");
      onChange.run();
    }
    if (!machine.accounted()) {
      failover.markAccounted(machine, "its lease has expired");
      onChange.run();
    }
  }

  private ExpiryEvidence evidence(Machine machine) {
    MachineContact contact = machine.contact();
    return new ExpiryEvidence(
        delegation.isDelegated(machine.zone()),
        Math.max(renewedByOtherControllersMicros(machine), contact.formerOwnerRenewalMicros()),
        contact.lastRenewalMicros(),
        contact.incarnationSeenMicros());
  }

  /**
   * Returns the latest time at which another controller may have renewed the lease; this leader
   * does not see those renewals. An earlier leader may have renewed it until this leader loaded the
   * machines, a delegate until its delegation was revoked. {@code VALID_MICROS} is added because a
   * delegate may keep using a delegation for that long after it sent its last read of it.
   */
  private long renewedByOtherControllersMicros(Machine machine) {
    return Math.max(failover.loadedMicros(), delegation.revokedMicros(machine.zone()))
        + DelegatedRenewal.VALID_MICROS;
  }

  private void logExpiry(Machine machine, Level level, ExpiryEvidence evidence, long now) {
    log.atLevel(level)
        .log(
            "lease of machine {} incarnation {} has expired, its {} attempts are ended: renewed at"
                + " the latest {} ms ago by this leader and {} ms ago by others, incarnation known"
                + " for {} ms, longest lease {} ms",
            machine.id(),
            machine.contact().incarnation(),
            machine.load().liveAttempts(),
            millisBefore(now, evidence.renewedMicros()),
            millisBefore(now, evidence.renewedByOthersMicros()),
            millisBefore(now, evidence.incarnationSeenMicros()),
            bound.maxRemainingMicros() / 1_000);
  }

  /** Returns the milliseconds from the event until now, or -1 if it has not happened. */
  private static long millisBefore(long now, long eventMicros) {
    return eventMicros < 0 ? -1 : (now - eventMicros) / 1_000;
  }
}
