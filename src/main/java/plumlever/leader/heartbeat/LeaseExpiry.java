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
    if (bound.hasExpiredForOthers(evidence, now)) {
      endTasksOfOthers(machine, evidence, now);
    }
    if (bound.hasExpired(evidence, now)) {
      endOwnAttempts(machine, evidence, now);
    }
  }

  /** Ends what earlier leaders and former owners of the machine may have started on it. */
  private void endTasksOfOthers(Machine machine, ExpiryEvidence evidence, long now) {
    boolean hadForeignTasks = machine.load().foreignTasks().tasks() > 0;
    if (hadForeignTasks || !machine.accounted()) {
      log.atLevel(hadForeignTasks ? Level.INFO : Level.DEBUG)
          .log(
              "tasks that others started on machine {} have ended with its lease, term {}: renewed"
                  + " at the latest {} ms ago by this leader and {} ms ago by others",
              machine.id(),
              context.term().number(),
              millisBefore(now, evidence.renewedMicros()),
              millisBefore(now, evidence.renewedByOthersMicros()));
    }
    sharing.leaseExpired(machine);
    if (!machine.accounted()) {
      failover.markAccounted(machine, "its lease has expired");
      onChange.run();
    } else if (hadForeignTasks) {
      onChange.run();
    }
  }

  private void endOwnAttempts(Machine machine, ExpiryEvidence evidence, long now) {
    boolean mayRunTasks = machine.load().liveAttempts() > 0;
    if (mayRunTasks) {
      logExpiry(machine, evidence, now);
    }
    heartbeats.endAllAttempts(machine);
    if (mayRunTasks) {
      context.metrics().count("leases_expired_with_tasks");
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

  private void logExpiry(Machine machine, ExpiryEvidence evidence, long now) {
    log.info(
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
