package plumlever.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.election.DelegatedRenewal;
import plumlever.fleet.Fleet;
import plumlever.lease.DelegationRecord;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/**
 * Checks delegated renewal: controllers other than the leader renew worker leases in the zones that
 * the leader names in its delegation record. The protocol does not state the two invariants checked
 * here, but the correctness of delegated renewal depends on them:
 *
 * <ul>
 *   <li>While a delegation of a zone may be in use, no direct start is sent into the zone. A direct
 *       start is a start command sent in a call to the worker, not in the response to a heartbeat.
 *   <li>While a direct start is in flight, a delegated renewal of the machine's lease must carry a
 *       higher fencing token, which invalidates the direct start.
 * </ul>
 */
final class DelegationChecker {
  /** A start command that was sent in a call to a worker and has not yet arrived at the machine. */
  private record Start(String machine, long token, long incarnation, String body) {}

  private final SimulatedCluster cluster;
  private final List<Start> startsInFlight = new ArrayList<>();

  /**
   * By zone, the simulated time in microseconds up to which a delegation of the zone may be in use;
   * {@code Long.MAX_VALUE} while the delegation record names the zone.
   */
  private final Map<String, Long> delegatedUntilMicros = new HashMap<>();

  private long term = -1;

  /**
   * Number of direct starts in flight that a lease renewal by a controller other than the leader
   * invalidated by carrying a higher fencing token.
   */
  int invalidatedStarts;

  DelegationChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Updates {@link #delegatedUntilMicros} when the state service has stored a delegation record. A
   * zone that the record no longer names may be in use for another {@code VALID_MICROS}.
   */
  void onDelegationStored(JsonNode data) {
    DelegationRecord record = DelegationRecord.read(data);
    if (record.term() != term) {
      // The delegation record of the previous leader was deleted by the election of this leader.
      delegatedUntilMicros.clear();
      term = record.term();
    }
    Set<String> zones = new HashSet<>(delegatedUntilMicros.keySet());
    zones.addAll(record.tokenByZone().keySet());
    for (String zone : zones) {
      if (record.tokenByZone().containsKey(zone)) {
        delegatedUntilMicros.put(zone, Long.MAX_VALUE);
      } else if (delegatedUntilMicros.get(zone) == Long.MAX_VALUE) {
        delegatedUntilMicros.put(zone, cluster.now() + DelegatedRenewal.VALID_MICROS);
      }
    }
  }

  /**
   * Called when commands are sent in a call to a worker, not in the response to a heartbeat.
   * Records a violation if the commands start tasks and a controller other than the leader may
   * renew leases in the machine's zone.
   */
  void onCommandsSent(String machine, String body) {
    if (!body.contains("\"run\"")) {
      return;
    }
    Start start = parseStart(machine, body);
    startsInFlight.add(start);
    FakeCloud.Vm vm = cluster.cloud.machines.get(machine);
    boolean mayBeDelegated =
        vm != null
            && Fleet.termOf(start.token) == term
            && cluster.now() < delegatedUntilMicros.getOrDefault(vm.zone, 0L);
    if (mayBeDelegated) {
      cluster.invariants.violations.add(
          "a direct start was sent to machine " + machine + " in a delegated zone: " + body);
    }
  }

  /**
   * Called when a worker receives commands that were sent in a call, and executes or refuses them.
   * Removes their start commands from the direct starts in flight.
   */
  void onCommandsArrived(String machine, String body) {
    startsInFlight.removeIf(start -> start.machine.equals(machine) && start.body.equals(body));
  }

  /**
   * Called when a worker has accepted a lease renewal from a controller that does not lead. Records
   * a violation for each direct start in flight to this incarnation of the worker whose fencing
   * token is not lower than the token of the renewal.
   */
  void onDelegatedRenewal(String machine, long incarnation, long token) {
    for (Start start : startsInFlight) {
      if (start.machine.equals(machine) && start.incarnation == incarnation) {
        if (start.token >= token) {
          cluster.invariants.violations.add(
              "the lease of machine "
                  + machine
                  + " was renewed under a delegation with token "
                  + token
                  + " at "
                  + cluster.now() / 1e6
                  + " s while a start that the token does not invalidate was in flight: "
                  + start.body);
        } else {
          invalidatedStarts++;
        }
      }
    }
  }

  private static Start parseStart(String machine, String body) {
    try {
      JsonNode command = Json.parseObject(body);
      return new Start(
          machine,
          command.path(ProtocolField.FENCING_TOKEN).asLong(),
          command.path(ProtocolField.INCARNATION).asLong(),
          body);
    } catch (InvalidMessageException e) {
      throw new AssertionError("direct command is not a JSON object: " + body, e);
    }
  }
}
