package plumlever.leader.machine;

import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;
import plumlever.leader.heartbeat.LeaseExpiry;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.scheduling.CommandSender;
import plumlever.leader.scheduling.SchedulingPass;

/**
 * Manages the machines of one term at short intervals: reads the inventory of the cloud, ends
 * expired leases, returns machines that are gone or not needed, and rents machines for pending
 * tasks.
 */
public final class MachineManager {
  private static final long INTERVAL_MICROS = 500_000;

  /** Pause between management cycles while the leader has no right to act. */
  private static final long INACTIVE_INTERVAL_MICROS = 200_000;

  /** Time for which a controller does not stand for election after it resigned as leader. */
  private static final long RESIGNATION_PAUSE_MICROS = 10_000_000;

  private final TermContext context;
  private final Fleet fleet;
  private final SchedulingPass pass;
  private final FailureDetector failureDetector;
  private final CloudInventory inventory;
  private final PartitionProbes probes;
  private final LeaseExpiry leaseExpiry;
  private final ReturnPolicy returnPolicy;
  private final MachineReturns returns;
  private final MachineRentals rentals;
  private final FleetSizing sizing;
  private boolean closed;

  /**
   * Creates the manager of one term.
   *
   * @param onChange runs when something changed that placement depends on
   */
  public MachineManager(
      TermContext context,
      Fleet fleet,
      MachineRegistry registry,
      SchedulingPass pass,
      HeartbeatHandler heartbeats,
      CommandSender commands,
      RenewalDelegation delegation,
      Failover failover,
      MachineSharing sharing,
      Runnable onChange) {
    this.context = context;
    this.fleet = fleet;
    this.pass = pass;
    this.failureDetector = new FailureDetector(context, fleet, failover);
    this.probes = new PartitionProbes(fleet, failover, failureDetector, commands, delegation);
    this.leaseExpiry =
        new LeaseExpiry(context, heartbeats, delegation, failover, sharing, onChange);
    this.returnPolicy =
        new ReturnPolicy(context, pass, failover, delegation, sharing, failureDetector);
    this.returns =
        new MachineReturns(context, fleet, registry, heartbeats, failover, sharing, onChange);
    this.inventory = new CloudInventory(context, fleet, sharing, returns::isReturned, onChange);
    this.rentals =
        new MachineRentals(
            context,
            fleet,
            pass,
            failover,
            sharing,
            returns::isReturned,
            failureDetector::isPartitioned,
            onChange);
    this.sizing = new FleetSizing(context, fleet, pass, failover, rentals, onChange);
  }

  /** Returns true for a machine that this leader has returned to the cloud. */
  public boolean isReturned(String machineId) {
    return returns.isReturned(machineId);
  }

  /**
   * Runs one management cycle.
   *
   * @return microseconds until the next cycle
   */
  public long runOnce() {
    if (closed || !context.term().mayAct()) {
      return INACTIVE_INTERVAL_MICROS;
    }
    long start = context.loop().nowMicros();
    manage(start);
    context.metrics().recordWork("machines", context.loop().nowMicros() - start);
    return INTERVAL_MICROS;
  }

  private void manage(long now) {
    failureDetector.recordLateness(now);
    inventory.refresh(now);
    failureDetector.countMachines(now);
    if (failureDetector.isPartitionedFromWorkers()) {
      context
          .election()
          .resign(
              context.term(),
              "most workers are silent here and many report to other controllers",
              RESIGNATION_PAUSE_MICROS);
    } else {
      checkMachines(now);
    }
    // A change callback may have closed this manager in the meantime.
    if (closed) {
      return;
    }
    returns.sendNext();
    if (context.costMatters()) {
      sizing.adjust(now);
    }
    rentals.rent(now);
  }

  private void checkMachines(long now) {
    failureDetector.updatePartitionedZones(now);
    probes.probe(now);
    boolean scarce = !pass.demands().isEmpty() && rentals.anyUnavailable(now);
    for (Machine machine : fleet.machines()) {
      leaseExpiry.endIfExpired(machine, now);
      if (!machine.returning()) {
        returnPolicy
            .reasonToReturn(machine, scarce, now)
            .ifPresent(reason -> returns.schedule(machine, reason));
      }
    }
  }

  /** Stops the management of machines and ignores responses of the cloud that arrive later. */
  public void close() {
    closed = true;
    inventory.close();
    returns.close();
  }
}
