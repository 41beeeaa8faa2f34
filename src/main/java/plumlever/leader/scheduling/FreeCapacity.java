package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.ForeignLoad;
import plumlever.fleet.Machine;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** Free resources of one machine, updated as tasks are added and removed. */
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

  /** Resources of an empty machine of the given type. */
  static FreeCapacity ofEmptyMachine(MachineType machineType) {
    return new FreeCapacity(
        machineType.cores(), machineType.accelerators(), machineType.memoryGb());
  }

  /** Resources of the machine minus its live attempts and the tasks of other shards on it. */
  static FreeCapacity of(Machine machine, MachineType machineType) {
    FreeCapacity free = ofEmptyMachine(machineType);
    ForeignLoad foreignTasks = machine.load().foreignTasks();
    free.cores -= foreignTasks.cores();
    free.accelerators -= foreignTasks.accelerators();
    free.memoryGb -= foreignTasks.memoryGb();
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded()) {
        free.reserve(attempt.job().spec());
      }
    }
    return free;
  }

  /** True if one task of the job fits into the free resources. */
  boolean fits(JobSpec spec) {
    return cores + ROUNDING_TOLERANCE >= spec.cores()
        && memoryGb + ROUNDING_TOLERANCE >= spec.memoryGb()
        && accelerators + ROUNDING_TOLERANCE >= spec.accelerators();
  }

  /** Subtracts the resources of one task of the job. */
  void reserve(JobSpec spec) {
    cores -= spec.cores();
    accelerators -= spec.accelerators();
    memoryGb -= spec.memoryGb();
  }

  /** Adds back the resources of one task of the job. */
  void release(JobSpec spec) {
    cores += spec.cores();
    accelerators += spec.accelerators();
    memoryGb += spec.memoryGb();
  }
}
