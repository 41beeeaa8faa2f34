package plumlever.leader.machine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.cloud.CloudClient;
import plumlever.cloud.ReturnOutcome;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.context.MachineSharing;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.HeartbeatHandler;

/**
 * Returns machines to the cloud, one request at a time. A request is repeated until the cloud has
 * confirmed it. The ids of returned machines are remembered.
 */
final class MachineReturns {
  /**
   * Maximum number of ids of returned machines that are kept. The ids prevent a delayed duplicate
   * of a heartbeat from adding a returned machine to the fleet again.
   */
  private static final int MAX_RETURNED_IDS = 20_000;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final MachineRegistry registry;
  private final HeartbeatHandler heartbeats;
  private final Failover failover;
  private final MachineSharing sharing;
  private final Runnable onChange;
  private final Set<String> returned =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
              return size() > MAX_RETURNED_IDS;
            }
          });
  private boolean inProgress;
  private boolean closed;

  /**
   * @param onChange runs when something changed that placement depends on
   */
  MachineReturns(
      TermContext context,
      Fleet fleet,
      MachineRegistry registry,
      HeartbeatHandler heartbeats,
      Failover failover,
      MachineSharing sharing,
      Runnable onChange) {
    this.context = context;
    this.log = context.loggerProvider().of(MachineReturns.class);
    this.fleet = fleet;
    this.registry = registry;
    this.heartbeats = heartbeats;
    this.failover = failover;
    this.sharing = sharing;
    this.onChange = onChange;
  }

  /** Returns true for a machine whose return the cloud has confirmed in this term. */
  boolean isReturned(String machineId) {
    return returned.contains(machineId);
  }

  /**
   * Schedules the return of the machine: no more tasks are started on it, and one of the next
   * requests to the cloud returns it.
   */
  void schedule(Machine machine, ReturnReason reason) {
    log.info(
        "returning machine {} (type {} in zone {}{}): {}",
        machine.id(),
        machine.machineType(),
        machine.zone(),
        machine.spot() ? ", spot" : "",
        reason);
    machine.setReturning(true);
    context.metrics().count("machines_returned");
  }

  /**
   * Sends the next request to return machines to the cloud, unless such a request is in progress or
   * no machine is to be returned.
   */
  void sendNext() {
    if (inProgress) {
      return;
    }
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : fleet.machines()) {
      if (machine.returning() && machines.size() < CloudClient.MAX_MACHINES_PER_RETURN) {
        machines.add(machine);
      }
    }
    if (machines.isEmpty()) {
      return;
    }
    inProgress = true;
    // The request is sent to the cloud only after the intent to return the machines is stored.
    sharing.recordReturns(machines, () -> send(machines));
  }

  private void send(List<Machine> machines) {
    if (closed || !context.term().mayAct()) {
      inProgress = false;
      return;
    }
    context
        .cloud()
        .returnMachines(
            machines.stream().map(Machine::id).toList(),
            outcome -> {
              inProgress = false;
              if (outcome == ReturnOutcome.RETURNED && !closed) {
                remove(machines);
              }
            });
  }

  private void remove(List<Machine> machines) {
    for (Machine machine : machines) {
      heartbeats.endAllAttempts(machine);
      returned.add(machine.id());
      fleet.remove(machine);
      failover.markAccounted(machine, "it was returned to the cloud");
      registry.remove(machine);
    }
    sharing.machinesReturned(machines);
    onChange.run();
  }

  /** Sends no further requests to return machines and ignores outcomes that arrive later. */
  void close() {
    closed = true;
  }
}
