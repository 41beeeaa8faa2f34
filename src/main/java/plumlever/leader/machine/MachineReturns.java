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
 * Returns machines to the cloud, one request at a time, repeated until the cloud has confirmed it,
 * and remembers the names of those returned.
 */
final class MachineReturns {
  /** Names kept, so that late copies of heartbeats bring no returned machine back. */
  private static final int MAX_REMEMBERED = 20_000;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final MachineRegistry registry;
  private final HeartbeatHandler heartbeats;
  private final Failover failover;
  private final MachineSharing sharing;
  private final Runnable changed;
  private final Set<String> returned =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
              return size() > MAX_REMEMBERED;
            }
          });
  private boolean inProgress;
  private boolean closed;

  /**
   * @param changed runs when something changed that placement depends on
   */
  MachineReturns(
      TermContext context,
      Fleet fleet,
      MachineRegistry registry,
      HeartbeatHandler heartbeats,
      Failover failover,
      MachineSharing sharing,
      Runnable changed) {
    this.context = context;
    this.log = context.logs().of(MachineReturns.class);
    this.fleet = fleet;
    this.registry = registry;
    this.heartbeats = heartbeats;
    this.failover = failover;
    this.sharing = sharing;
    this.changed = changed;
  }

  /** True for a machine that the cloud has confirmed as returned in this term. */
  boolean isReturned(String machineId) {
    return returned.contains(machineId);
  }

  /** The machine is to be returned: it gets no more work, and is part of the next request. */
  void schedule(Machine machine, ReturnReason reason) {
    log.info(
        "returning {} ({} in {}{}): {}",
        machine.id(),
        machine.machineType(),
        machine.zone(),
        machine.spot() ? ", spot" : "",
        reason);
    machine.setReturning(true);
    context.metrics().count("machines_returned");
  }

  /** Sends the next request, unless one is open or no machine is to be returned. */
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
    // The call to the cloud is made only once the intent is on record.
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
      failover.markAccounted(machine, "it was returned");
      registry.remove(machine);
    }
    sharing.machinesReturned(machines);
    changed.run();
  }

  /** Sends and takes in nothing any more. */
  void close() {
    closed = true;
  }
}
