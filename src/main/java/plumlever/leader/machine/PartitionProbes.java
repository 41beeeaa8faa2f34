package plumlever.leader.machine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import plumlever.fleet.Fleet;
import plumlever.fleet.Machine;
import plumlever.leader.failover.Failover;
import plumlever.leader.heartbeat.RenewalDelegation;
import plumlever.leader.scheduling.CommandSender;

/**
 * Calls machines of zones that seem to be partitioned. Where a zone can't be reached from here but
 * from another controller, that one may renew the leases. Some machines of the zone are called all
 * the time: the first that answers ends the delegation, since workers stay with whoever answers.
 */
final class PartitionProbes {
  /** A machine that has reported within this time can be reached. */
  private static final long REACHED_MICROS = 1_500_000;

  private static final int CALLS_PER_ZONE = 3;

  private final Fleet fleet;
  private final Failover failover;
  private final MachineSilence silence;
  private final CommandSender commands;
  private final RenewalDelegation delegation;

  PartitionProbes(
      Fleet fleet,
      Failover failover,
      MachineSilence silence,
      CommandSender commands,
      RenewalDelegation delegation) {
    this.fleet = fleet;
    this.failover = failover;
    this.silence = silence;
    this.commands = commands;
    this.delegation = delegation;
  }

  /** Calls machines, and asks for delegation of the zones in which none can be reached. */
  void probe(long now) {
    Set<String> unreachedZones = new HashSet<>();
    if (failover.isComplete()) {
      unreachedZones.addAll(silence.partitionedZones());
    }
    Map<String, Integer> calls = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.contact().hasReported() || !silence.isPartitioned(machine.zone())) {
        continue;
      }
      if (now - machine.contact().lastSeenMicros() < REACHED_MICROS) {
        unreachedZones.remove(machine.zone());
      } else if (calls.merge(machine.zone(), 1, Integer::sum) <= CALLS_PER_ZONE) {
        commands.probe(machine);
      }
    }
    delegation.updateUnreachableZones(unreachedZones);
  }
}
