package plumlever.leader;

import java.util.List;
import plumlever.fleet.Machine;
import plumlever.fleet.StartChannel;
import plumlever.leader.scheduling.SchedulingPass;
import plumlever.leader.scheduling.TaskStarter;
import plumlever.wire.WorkerCommand;

/** Starts, with the answer to a heartbeat, the tasks that are planned for its machine. */
record PlannedStarts(SchedulingPass pass, TaskStarter starter) {
  /**
   * Adds the commands that start the planned tasks, unless the machine or their jobs are not on
   * record yet, or an earlier start is not confirmed.
   */
  void addTo(List<WorkerCommand> commands, Machine machine) {
    if (pass.hasPlan(machine)
        && pass.hasRecordedPlan(machine)
        && !machine.load().hasUnconfirmedStart()) {
      starter.start(machine, pass.planned(machine), StartChannel.HEARTBEAT_ANSWER, commands);
      pass.dropPlan(machine);
    }
  }
}
