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
 * the zone are called continuously, because workers keep sending heartbeats to the controller that
 * responds to them; the first machine that responds to the leader ends the delegation.
 */
final class PartitionProbes {
  /** A machine that sent a heartbeat or a response within this time counts as reachable. */
  private static final long REACHABLE_MICROS = 1_500_000;

  private static final int CALLS_PER_ZONE = 3;

  private final Fleet fleet;
  private final Failover failover;
  private final FailureDetector failureDetector;
  private final CommandSender commands;
  private final RenewalDelegation delegation;

  PartitionProbes(
      Fleet fleet,
      Failover failover,
      FailureDetector failureDetector,
      CommandSender commands,
      RenewalDelegation delegation) {
    this.fleet = fleet;
    this.failover = failover;
    this.failureDetector = failureDetector;
    this.commands = commands;
    this.delegation = delegation;
  }

  /**
   * Calls machines of partitioned zones, and requests that lease renewal is delegated to other
   * controllers for the zones in which no machine can be reached.
   */
  void probe(long now) {
    Set<String> unreachableZones = new HashSet<>();
    if (failover.isComplete()) {
      unreachableZones.addAll(failureDetector.partitionedZones());
    }
    Map<String, Integer> calls = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (!machine.contact().hasSentHeartbeat() || !failureDetector.isPartitioned(machine.zone())) {
        continue;
      }
      if (now - machine.contact().lastSeenMicros() < REACHABLE_MICROS) {
        unreachableZones.remove(machine.zone());
      } else if (calls.merge(machine.zone(), 1, Integer::sum) <= CALLS_PER_ZONE) {
        commands.requestState(machine);
      }
    }
    delegation.updateUnreachableZones(unreachableZones);
  }
}
