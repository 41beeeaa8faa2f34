package plumlever.leader.machine;

import java.util.Optional;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.wire.MachineType;

/**
 * Decides which machines are returned to the cloud and why. {@link MachineReturns} sends the
 * requests to the cloud.
 */
final class ReturnPolicy {
  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * Minimum time for which a new leader waits for a machine's first report before it returns the
   * machine because it delays the failover.
   */
  private static final long FAILOVER_MIN_WAIT_MICROS = 2_000_000;

  /**
   * Minimum number of failed calls before a machine is returned because it delays the failover. A
   * machine with fewer failed calls was possibly called too late to have responded yet.
   */
  private static final int MIN_FAILED_CALLS = 2;

  /** Number of lease durations for which machines of a partitioned zone may be silent. */
  private static final int MAX_SILENT_LEASES = 2;

  /**
   * Number of lease durations for which machines of a partitioned zone may be silent while other
   * controllers may renew the leases of the zone.
   */
  private static final int MAX_SILENT_LEASES_DELEGATED = 6;

  private static final double BOOT_S_OF_UNKNOWN_TYPE = 60;
  private static final double MIN_BOOT_S = 15;

  private final TermContext context;
  private final SchedulingPass pass;
  private final Failover failover;
  private final RenewalDelegation delegation;
  private final MachineSharing sharing;
  private final FailureDetector failureDetector;

  ReturnPolicy(
      TermContext context,
      SchedulingPass pass,
      Failover failover,
      RenewalDelegation delegation,
      MachineSharing sharing,
      FailureDetector failureDetector) {
    this.context = context;
    this.pass = pass;
    this.failover = failover;
    this.delegation = delegation;
    this.sharing = sharing;
    this.failureDetector = failureDetector;
  }

  /**
   * Returns the reason to return the machine, or empty to keep it. Also updates the time at which
   * the machine became idle.
   *
   * @param scarce true if there is rental demand while some rental option is unavailable
   */
  Optional<ReturnReason> reasonToReturn(Machine machine, boolean scarce, long now) {
    if (machine.failed()) {
      return Optional.of(ReturnReason.FAILED);
    }
    if (!machine.contact().hasSentHeartbeat() && !failover.unaccounted().contains(machine)) {
      return reasonIf(bootsTooLong(machine, now), ReturnReason.NOT_BOOTING);
    }
    if (delaysFailover(machine, now)) {
      return Optional.of(ReturnReason.DELAYS_FAILOVER);
    }
    if (failureDetector.silentMicros(machine, now) > failureDetector.thresholdMicros()) {
      return reasonIf(isGone(machine, now), ReturnReason.SILENT);
    }
    if (machine.draining() && !machine.load().mayRunTasks()) {
      return Optional.of(ReturnReason.DRAINED);
    }
    return reasonIf(
        idleTooLong(machine, scarce, now) && sharing.mayReturnIdle(), ReturnReason.IDLE);
  }

  private static Optional<ReturnReason> reasonIf(boolean applies, ReturnReason reason) {
    return applies ? Optional.of(reason) : Optional.empty();
  }

  private boolean bootsTooLong(Machine machine, long now) {
    MachineType machineType = context.typeCatalog().machineType(machine.machineType());
    double bootS =
        machineType == null ? BOOT_S_OF_UNKNOWN_TYPE : Math.max(machineType.startupS(), MIN_BOOT_S);
    long bootTimeoutMicros =
        (long) (bootS * MICROS_PER_SECOND * context.parameters().bootTimeoutFactor());
    // Time from which the boot timeout is counted. After a failover, every machine has at least
    // half of the timeout to report to the new leader.
    long sinceMicros =
        Math.max(machine.knownSinceMicros(), failover.startedMicros() - bootTimeoutMicros / 2);
    return now - sinceMicros > bootTimeoutMicros;
  }

  /**
   * Returns true for a machine that neither responds to calls nor reports to the new leader while
   * most of its zone has reported. In most cases the machine was preempted shortly before. All
   * pending tasks of inherited jobs wait for such machines, so these machines are returned earlier
   * than other silent machines. The minimum wait exists because a large fleet takes seconds to
   * report to a new leader.
   */
  private boolean delaysFailover(Machine machine, long now) {
    return failover.unaccounted().contains(machine)
        && machine.contact().consecutiveFailedCalls() >= MIN_FAILED_CALLS
        && now - failover.loadedMicros() >= FAILOVER_MIN_WAIT_MICROS
        && failureDetector.hasMostlyReported(machine.zone());
  }

  /**
   * Returns true if a silent machine counts as gone. In a zone that seems to be partitioned, it
   * counts as gone only after several lease durations, because it may still run tasks.
   */
  private boolean isGone(Machine machine, long now) {
    int leases =
        delegation.isDelegated(machine.zone()) ? MAX_SILENT_LEASES_DELEGATED : MAX_SILENT_LEASES;
    return !failureDetector.isPartitioned(machine.zone())
        || failureDetector.silentMicros(machine, now)
            > leases * context.platform().workers().leaseMicros();
  }

  private boolean idleTooLong(Machine machine, boolean scarce, long now) {
    if (machine.load().mayRunTasks() || pass.hasPlan(machine) || !failover.isComplete()) {
      machine.setIdleSince(-1);
      return false;
    }
    if (machine.idleSinceMicros() < 0) {
      machine.setIdleSince(now);
    }
    boolean minChargeUsed = now - machine.knownSinceMicros() > FleetSizing.MIN_CHARGE_MICROS;
    return minChargeUsed
        && (pass.cordoned().contains(machine)
            || now - machine.idleSinceMicros() > maxIdleMicros(scarce));
  }

  /**
   * Returns how long a machine may be idle before it is returned to the cloud. The time is shorter
   * if a rental option is unavailable: an idle machine that does not suit the pending tasks may
   * occupy capacity of the cloud that they need.
   */
  private long maxIdleMicros(boolean scarce) {
    return context.costMatters() || scarce
        ? context.parameters().idleTimeoutForCostMicros()
        : context.parameters().idleTimeoutForSpeedMicros();
  }
}
