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
 * Calls machines of zones that seem to be partitioned. If this leader cannot reach a zone but
 * another controller can, the other controller may renew the leases of the zone. Some machines of
 * the zone are called continuously, because workers keep reporting to the controller that answers
 * them; the first machine that answers the leader ends the delegation.
 */
final class PartitionProbes {
  /** A machine that has reported within this time counts as reachable. */
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

  /**
   * Calls machines of partitioned zones, and requests delegation for the zones in which no machine
   * can be reached.
   */
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
