package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;

/** Tasks that the current scheduling pass planned to start at once, by machine. */
final class StartPlan {
  private final Map<String, Map<Job, PlannedTasks>> byMachine = new HashMap<>();

  void clear() {
    byMachine.clear();
  }

  /** Adds one task of the job to the machine's plan. */
  void add(String machineId, Job job) {
    byMachine
        .computeIfAbsent(machineId, id -> new LinkedHashMap<>())
        .computeIfAbsent(job, PlannedTasks::new)
        .addTask();
  }

  void drop(Machine machine) {
    byMachine.remove(machine.id());
  }

  Iterable<PlannedTasks> on(Machine machine) {
    return byMachine.getOrDefault(machine.id(), Map.of()).values();
  }

  boolean hasAny(Machine machine) {
    return byMachine.containsKey(machine.id());
  }

  /**
   * Returns true if a task planned on the machine may be started now, that is, if its job is
   * already recorded as started in the state service.
   */
  boolean hasStartable(Machine machine) {
    for (PlannedTasks planned : on(machine)) {
      if (planned.job().registration() == RegistrationState.STORED) {
        return true;
      }
    }
    return false;
  }

  /** Returns a copy of the ids of all machines with planned tasks. */
  List<String> machineIds() {
    return new ArrayList<>(byMachine.keySet());
  }
}
