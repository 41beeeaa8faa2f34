package plumlever.leader;

import java.util.List;
import plumlever.fleet.Machine;
import plumlever.fleet.StartChannel;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.leader.scheduling.TaskStarter;
import plumlever.wire.WorkerCommand;

/** Adds the starts of the tasks planned for a machine to the response to its heartbeat. */
record PlannedStarts(SchedulingPass pass, TaskStarter starter) {
  /**
   * Adds the commands that start the planned tasks. Adds none if the machine or the jobs of the
   * tasks are not stored yet in the records of machines and of started jobs, or while an earlier
   * command may have started an attempt that no heartbeat has listed yet.
   */
  void addTo(List<WorkerCommand> commands, Machine machine) {
    if (pass.hasPlan(machine)
        && pass.hasStartablePlan(machine)
        && !machine.load().hasUnconfirmedStart()) {
      starter.start(machine, pass.planned(machine), StartChannel.HEARTBEAT_RESPONSE, commands);
      pass.dropPlan(machine);
    }
  }
}
