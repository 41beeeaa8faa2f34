package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.ForeignLoad;
import plumlever.fleet.Machine;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** What is free on one machine, while tasks are added to it or taken from it. */
final class FreeCapacity {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private double cores;
  private double accelerators;
  private double memoryGb;

  private FreeCapacity(double cores, double accelerators, double memoryGb) {
    this.cores = cores;
    this.accelerators = accelerators;
    this.memoryGb = memoryGb;
  }

  /** All of a machine of this type. */
  static FreeCapacity whole(MachineType machineType) {
    return new FreeCapacity(
        machineType.cores(), machineType.accelerators(), machineType.memoryGb());
  }

  /** What the machine's attempts that are not over, and its foreign tasks, leave of it. */
  static FreeCapacity of(Machine machine, MachineType machineType) {
    FreeCapacity free = whole(machineType);
    ForeignLoad foreignTasks = machine.load().foreignTasks();
    free.cores -= foreignTasks.cores();
    free.accelerators -= foreignTasks.accelerators();
    free.memoryGb -= foreignTasks.memoryGb();
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over()) {
        free.reserve(attempt.job().spec());
      }
    }
    return free;
  }

  /** True if one task of the job fits. */
  boolean fits(JobSpec spec) {
    return cores + ROUNDING_TOLERANCE >= spec.cores()
        && memoryGb + ROUNDING_TOLERANCE >= spec.memoryGb()
        && accelerators + ROUNDING_TOLERANCE >= spec.accelerators();
  }

  /** One task of the job goes to the machine, or is on it. */
  void reserve(JobSpec spec) {
    cores -= spec.cores();
    accelerators -= spec.accelerators();
    memoryGb -= spec.memoryGb();
  }

  /** One task of the job leaves the machine. */
  void release(JobSpec spec) {
    cores += spec.cores();
    accelerators += spec.accelerators();
    memoryGb += spec.memoryGb();
  }
}
