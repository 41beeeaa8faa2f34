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
 * Checks two invariants on which the correctness of delegated renewal depends, the renewal of
 * worker leases by controllers other than the leader in zones that the leader has named in its
 * delegation record. The protocol itself does not require these invariants. No direct start (a
 * start command sent in a call to the worker, not in the response to a heartbeat) is sent into a
 * zone while a delegation of the zone may be in use. No lease is renewed under a delegation while a
 * direct start is in flight that the renewal does not invalidate.
 */
final class DelegationChecker {
  /** A direct start command that has not arrived at its machine. */
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
   * Number of times that a renewal under a delegation invalidated a direct start in flight by
   * carrying a higher fencing token.
   */
  int invalidatedStarts;

  DelegationChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Updates the zones that may be delegated; called when the state service has stored a delegation
   * record.
   */
  void onDelegationStored(JsonNode data) {
    DelegationRecord record = DelegationRecord.read(data);
    if (record.term() != term) {
      // An election deletes the previous leader's delegation.
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
   * Called when direct commands are sent to a machine; records a violation if they start tasks
   * while the machine's zone may be delegated.
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
   * Called when direct commands have arrived at the machine, which executes or refuses them; its
   * start commands are then no longer in flight.
   */
  void onCommandsArrived(String machine, String body) {
    startsInFlight.removeIf(start -> start.machine.equals(machine) && start.body.equals(body));
  }

  /**
   * Called when a worker has accepted a lease renewal from a controller that does not lead; records
   * a violation for each direct start in flight that the renewal does not invalidate.
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
