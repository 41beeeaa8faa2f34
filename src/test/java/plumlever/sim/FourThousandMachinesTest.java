package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;

/**
 * Verifies that no fixed limit prevents a fleet of more than 4,000 machines. The controllers list
 * all machines within the request rate of the cloud and record them in the state service. The next
 * leader takes over all machines, although their heartbeats arrive before it has read the jobs.
 */
final class FourThousandMachinesTest {
  private static final int MACHINES = 4_200;

  private static Set<String> recordedMachines(SimulatedCluster cluster) {
    Set<String> names = new HashSet<>();
    cluster
        .store
        .values("fleet/")
        .forEach(
            value ->
                value.path("hosts").forEach(machineId -> names.add(machineId.path(0).asText())));
    return names;
  }

  @Test
  void allAreListedRecordedAndTakenOver() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            79,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 0, 0, 0, 0),
                new PlatformConfiguration.Team("blue", 0, 0, 0, 0)),
            false);
    cluster.cloud.limitsRate = true;
    cluster.cloud.addRunningMachines(MACHINES);
    FakeUsers users = new FakeUsers(cluster);
    for (int i = 0; i < 12; i++) {
      cluster.at(5_000_000L + i * 300_000L, () -> users.submit(400, 2, 40, false));
    }
    cluster.runFor(30);
    assertEquals(MACHINES, recordedMachines(cluster).size());
    assertTrue(
        cluster.leader().controller().metrics().counter("machine_lists_read") >= 2,
        "too few complete machine lists were read");
    assertEquals(0, cluster.cloud.requestsRefused, "requests beyond the cloud's rate limit");
    cluster.leader().crash(3);
    cluster.runFor(12);
    assertTrue(
        cluster.leader().actingLeader().failoverComplete(),
        "failover not complete 12 s after the leader's crash");
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(120);
    cluster.invariants.checkJobsServed();
    assertEquals(List.of(), cluster.invariants.violations);
    assertTrue(cluster.invariants.starts >= 12 * 400, "starts: " + cluster.invariants.starts);
    assertFalse(cluster.maxSocketsInUse < MACHINES, "sockets: " + cluster.maxSocketsInUse);
  }
}
