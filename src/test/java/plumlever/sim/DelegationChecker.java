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
 * Not rules of the protocol, but what the proof of delegated renewal rests on: no start is sent
 * straight into a zone while the delegation of it may count, and no lease is renewed for the leader
 * while a start is on its way that the renewal does not void.
 */
final class DelegationChecker {
  /** A start sent straight to a machine that has not arrived. */
  private record Start(String machine, long token, long incarnation, String body) {}

  private final SimulatedCluster cluster;
  private final List<Start> underWay = new ArrayList<>();

  /** Until when a delegation of the zone may count. */
  private final Map<String, Long> countsUntil = new HashMap<>();

  private long term = -1;

  /** Renewals that voided a start on its way. */
  int voided;

  DelegationChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** The delegation was written. */
  void stored(JsonNode data) {
    DelegationRecord record = DelegationRecord.read(data);
    if (record.term() != term) {
      // An election drops what the leader before had delegated.
      countsUntil.clear();
      term = record.term();
    }
    Set<String> zones = new HashSet<>(countsUntil.keySet());
    zones.addAll(record.tokenByZone().keySet());
    for (String zone : zones) {
      if (record.tokenByZone().containsKey(zone)) {
        countsUntil.put(zone, Long.MAX_VALUE);
      } else if (countsUntil.get(zone) == Long.MAX_VALUE) {
        countsUntil.put(zone, cluster.now() + DelegatedRenewal.VALID_MICROS);
      }
    }
  }

  /** Commands are sent straight to a machine. */
  void sent(String machine, String body) {
    if (!body.contains("\"run\"")) {
      return;
    }
    Start start = start(machine, body);
    underWay.add(start);
    FakeCloud.Vm vm = cluster.cloud.machines.get(machine);
    boolean counts =
        vm != null
            && Fleet.termOf(start.token) == term
            && cluster.now() < countsUntil.getOrDefault(vm.zone, 0L);
    if (counts) {
      cluster.invariants.broken.add(
          "a start was sent straight to " + machine + " in a delegated zone: " + body);
    }
  }

  /** Commands have arrived at the machine, and are carried out or refused. */
  void arrived(String machine, String body) {
    underWay.removeIf(start -> start.machine.equals(machine) && start.body.equals(body));
  }

  /** A worker has taken an answer of a controller that does not lead. */
  void renewedForLeader(String machine, long incarnation, long token) {
    for (Start start : underWay) {
      if (start.machine.equals(machine) && start.incarnation == incarnation) {
        if (start.token >= token) {
          cluster.invariants.broken.add(
              "the lease of "
                  + machine
                  + " was renewed for the leader with token "
                  + token
                  + " at "
                  + cluster.now() / 1e6
                  + " while a start is on its way: "
                  + start.body);
        } else {
          voided++;
        }
      }
    }
  }

  private static Start start(String machine, String body) {
    try {
      JsonNode command = Json.parseObject(body);
      return new Start(
          machine,
          command.path(ProtocolField.FENCING_TOKEN).asLong(),
          command.path(ProtocolField.INCARNATION).asLong(),
          body);
    } catch (InvalidMessageException e) {
      throw new AssertionError("a command can't be read: " + body, e);
    }
  }
}
