package plumlever.leader.scheduling;

import java.util.Set;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.ForeignLoad;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.placement.MachineShape;
import plumlever.placement.PlacementCandidate;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** Takes snapshots of the machines that are available for placement. */
final class FleetSnapshotFactory {
  /** Approximate latency of a command to a machine. */
  private static final long COMMAND_DELAY_MICROS = 50_000;

  /**
   * Startup estimate in microseconds per second of the machine type's nominal startup time: 1.2
   * times the nominal time.
   */
  private static final double STARTUP_MICROS_PER_NOMINAL_SECOND = 1.2e6;

  private static final long MIN_STARTUP_MICROS = 1_000_000;

  private final TermContext context;
  private final Fleet fleet;
  private final MachineAvailability availability;
  private final ExpectedTimes times;

  FleetSnapshotFactory(
      TermContext context, Fleet fleet, MachineAvailability availability, ExpectedTimes times) {
    this.context = context;
    this.fleet = fleet;
    this.availability = availability;
    this.times = times;
  }

  /**
   * Takes a snapshot of all available machines except the excluded ones, with the tasks on each
   * machine.
   */
  FleetSnapshot snapshot(long nowMicros, Set<Machine> excluded) {
    FleetSnapshot snapshot = new FleetSnapshot(context.typeCatalog(), nowMicros);
    MachineShapes shapes = new MachineShapes(context);
    for (Machine machine : fleet.machines()) {
      MachineType machineType = context.typeCatalog().machineType(machine.machineType());
      if (machineType == null || excluded.contains(machine)) {
        continue;
      }
      if (availability.isComingUp(machine, nowMicros)) {
        MachineShape shape = shapes.of(machineType, machine.spot());
        snapshot.add(machine, candidateComingUp(machine, machineType, shape, nowMicros));
      } else if (availability.acceptsTasks(machine, nowMicros)) {
        MachineShape shape = shapes.of(machineType, machine.spot());
        snapshot.add(machine, candidateUp(machine, machineType, shape, nowMicros));
      }
    }
    return snapshot;
  }

  private static PlacementCandidate candidateComingUp(
      Machine machine, MachineType machineType, MachineShape shape, long nowMicros) {
    PlacementCandidate candidate =
        new PlacementCandidate(machine.id(), machine.zone(), shape, 1, 0);
    long startupMicros = (long) (machineType.startupS() * STARTUP_MICROS_PER_NOMINAL_SECOND);
    candidate.markComingUp(
        Math.max(nowMicros + MIN_STARTUP_MICROS, machine.knownSinceMicros() + startupMicros));
    return candidate;
  }

  private PlacementCandidate candidateUp(
      Machine machine, MachineType machineType, MachineShape shape, long nowMicros) {
    PlacementCandidate candidate =
        new PlacementCandidate(
            machine.id(), machine.zone(), shape, machine.health().slowness(), COMMAND_DELAY_MICROS);
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded()) {
        JobSpec spec = attempt.job().spec();
        candidate.occupy(
            spec.cores(),
            spec.accelerators(),
            spec.memoryGb(),
            times.endMicros(attempt, machineType, nowMicros));
      }
    }
    ForeignLoad foreignTasks = machine.load().foreignTasks();
    if (foreignTasks.tasks() > 0) {
      candidate.occupy(
          foreignTasks.cores(),
          foreignTasks.accelerators(),
          foreignTasks.memoryGb(),
          times.foreignTasksEndMicros(nowMicros));
    }
    return candidate;
  }
}
