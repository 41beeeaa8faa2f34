package plumlever.leader.scheduling;

import java.util.Set;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.GuestLoad;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.placement.PlacementCandidate;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** Makes snapshots of the machines that tasks may be planned for. */
final class FleetSnapshotFactory {
  /** Where only speed matters, so much memory counts as much as one core. */
  private static final double MEMORY_GB_PER_CORE = 4;

  private static final double SECONDS_PER_HOUR = 3600;

  /** About what a command takes until it reaches a machine. */
  private static final long COMMAND_DELAY_MICROS = 50_000;

  /**
   * A machine that comes up may take this many microseconds for each second of its nominal time.
   */
  private static final double STARTUP_MICROS_PER_NOMINAL_SECOND = 1.2e6;

  private static final long MIN_STARTUP_MICROS = 1_000_000;

  private final Context context;
  private final Fleet fleet;
  private final MachineAvailability availability;
  private final ExpectedTimes times;

  FleetSnapshotFactory(
      Context context, Fleet fleet, MachineAvailability availability, ExpectedTimes times) {
    this.context = context;
    this.fleet = fleet;
    this.availability = availability;
    this.times = times;
  }

  /** The machines but for those excluded, with the tasks that are on them. */
  FleetSnapshot snapshot(long nowMicros, Set<Machine> excluded) {
    FleetSnapshot snapshot = new FleetSnapshot(context.prices(), nowMicros);
    for (Machine machine : fleet.machines()) {
      MachineType machineType = context.prices().machineType(machine.machineType());
      if (machineType == null || excluded.contains(machine)) {
        continue;
      }
      if (availability.isComingUp(machine, nowMicros)) {
        snapshot.add(machine, comingUp(machine, machineType, nowMicros));
      } else if (availability.acceptsTasks(machine, nowMicros)) {
        snapshot.add(machine, up(machine, machineType, nowMicros));
      }
    }
    return snapshot;
  }

  private PlacementCandidate comingUp(Machine machine, MachineType machineType, long nowMicros) {
    PlacementCandidate candidate = candidate(machine, machineType, 1, 0);
    long startupMicros = (long) (machineType.startupS() * STARTUP_MICROS_PER_NOMINAL_SECOND);
    candidate.comesUp(
        Math.max(nowMicros + MIN_STARTUP_MICROS, machine.knownSinceMicros() + startupMicros));
    return candidate;
  }

  private PlacementCandidate up(Machine machine, MachineType machineType, long nowMicros) {
    PlacementCandidate candidate =
        candidate(machine, machineType, machine.health().slowness(), COMMAND_DELAY_MICROS);
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over()) {
        JobSpec spec = attempt.job().spec();
        candidate.occupy(
            spec.cores(),
            spec.accelerators(),
            spec.memoryGb(),
            times.endMicros(attempt, machineType, nowMicros));
      }
    }
    GuestLoad guests = machine.load().guests();
    if (guests.tasks() > 0) {
      candidate.occupy(
          guests.cores(),
          guests.accelerators(),
          guests.memoryGb(),
          times.guestsEndMicros(nowMicros));
    }
    return candidate;
  }

  private PlacementCandidate candidate(
      Machine machine, MachineType machineType, double slowness, long delayMicros) {
    return new PlacementCandidate(
        machine.id(),
        machine.machineType(),
        machine.zone(),
        machine.spot(),
        machineType.cores(),
        machineType.accelerators(),
        machineType.memoryGb(),
        pricePerSecond(machine, machineType),
        slowness,
        delayMicros);
  }

  /**
   * Where only speed matters no machine is dearer than another for its size: what is left of the
   * score is the time that a task holds its share, with the image if it has to be fetched.
   */
  private double pricePerSecond(Machine machine, MachineType machineType) {
    return context.moneyMatters()
        ? context.prices().hourly(machineType, machine.spot()) / SECONDS_PER_HOUR
        : Math.max(machineType.cores(), machineType.memoryGb() / MEMORY_GB_PER_CORE);
  }
}
