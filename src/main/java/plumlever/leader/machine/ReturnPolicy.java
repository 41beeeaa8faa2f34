package plumlever.leader.machine;

import java.util.Optional;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.wire.MachineType;

/** Decides which machines go back to the cloud, and why. It returns none itself. */
final class ReturnPolicy {
  private static final double MICROS_PER_SECOND = 1e6;

  /** The failover waits at least this long for each machine. */
  private static final long FAILOVER_PATIENCE_MICROS = 2_000_000;

  /** A machine that has not been called so often in vain may just not have been called in time. */
  private static final int MIN_FAILED_CALLS = 2;

  /** For how many leases machines of a partitioned zone may be silent. */
  private static final int MAX_SILENT_LEASES = 2;

  /** The same while other controllers may renew the leases of the zone. */
  private static final int MAX_SILENT_LEASES_DELEGATED = 6;

  private static final double BOOT_S_OF_UNKNOWN_TYPE = 60;
  private static final double MIN_BOOT_S = 15;

  private final TermContext context;
  private final SchedulingPass pass;
  private final Failover failover;
  private final RenewalDelegation delegation;
  private final MachineSharing sharing;
  private final MachineSilence silence;

  ReturnPolicy(
      TermContext context,
      SchedulingPass pass,
      Failover failover,
      RenewalDelegation delegation,
      MachineSharing sharing,
      MachineSilence silence) {
    this.context = context;
    this.pass = pass;
    this.failover = failover;
    this.delegation = delegation;
    this.sharing = sharing;
    this.silence = silence;
  }

  /**
   * Why the machine is to be returned; empty to keep it. Also keeps account of since when it has
   * been idle.
   *
   * @param scarce true if tasks wait although the cloud has no more machines of some kind
   */
  Optional<ReturnReason> reasonToReturn(Machine machine, boolean scarce, long now) {
    if (machine.failed()) {
      return Optional.of(ReturnReason.FAILED);
    }
    if (!machine.contact().hasReported() && !failover.unaccounted().contains(machine)) {
      return reasonIf(bootsTooLong(machine, now), ReturnReason.NOT_BOOTING);
    }
    if (delaysFailover(machine, now)) {
      return Optional.of(ReturnReason.DELAYS_FAILOVER);
    }
    if (silence.silentMicros(machine, now) > silence.thresholdMicros()) {
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
    MachineType machineType = context.prices().machineType(machine.machineType());
    double bootS =
        machineType == null ? BOOT_S_OF_UNKNOWN_TYPE : Math.max(machineType.startupS(), MIN_BOOT_S);
    long patienceMicros = (long) (bootS * MICROS_PER_SECOND * context.parameters().bootFactor());
    long sinceMicros =
        Math.max(machine.knownSinceMicros(), failover.startedMicros() - patienceMicros / 2);
    return now - sinceMicros > patienceMicros;
  }

  /**
   * True for one of few machines that neither answer calls nor report to a new leader while the
   * rest of their zone does. Mostly they were preempted shortly before. All inherited tasks wait
   * for them, so they are given up sooner than other silent machines; but a large fleet takes
   * seconds to report to a new leader.
   */
  private boolean delaysFailover(Machine machine, long now) {
    return failover.unaccounted().contains(machine)
        && machine.contact().consecutiveFailedCalls() >= MIN_FAILED_CALLS
        && now - failover.loadedMicros() >= FAILOVER_PATIENCE_MICROS
        && silence.hasMostlyReported(machine.zone());
  }

  /** Many silent at once in a zone look like a partition, in which they may still run tasks. */
  private boolean isGone(Machine machine, long now) {
    int leases =
        delegation.isDelegated(machine.zone()) ? MAX_SILENT_LEASES_DELEGATED : MAX_SILENT_LEASES;
    return !silence.isPartitioned(machine.zone())
        || silence.silentMicros(machine, now) > leases * context.platform().workers().leaseMicros();
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

  /** Where machines are scarce, waiting tasks may need the place of one that does not suit them. */
  private long maxIdleMicros(boolean scarce) {
    return context.moneyMatters() || scarce
        ? context.parameters().idleMoneyMicros()
        : context.parameters().idleSpeedMicros();
  }
}
