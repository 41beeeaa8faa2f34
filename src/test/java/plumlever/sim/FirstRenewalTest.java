package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/** Tests how a new leader renews the leases of the machines of earlier leaders. */
final class FirstRenewalTest {
  private final SimulatedCluster cluster =
      new SimulatedCluster(
          421, 3, List.of(new PlatformConfiguration.Team("blue", 16, 0, 0, 0)), false);
  private final FakeUsers users = new FakeUsers(cluster);

  private JobSpec startWork() {
    JobSpec job =
        TestJob.job(users.nextUid()).team("blue").tasks(30).cores(2).memoryGb(2).runS(90).build();
    users.submit(job, false);
    cluster.runFor(40);
    assertTrue(cluster.invariants.hasStarted(job.uid()));
    return job;
  }

  private long counter(String name) {
    return cluster.leader().controller().metrics().counter(name);
  }

  private void assertDone(JobSpec job) {
    cluster.runFor(150);
    assertEquals("done", cluster.invariants.lastReportedStatus.get(job.uid()));
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /** Guards against a failover that calls every machine although all starts were settled. */
  @Test
  void leasesAreRenewedAtOnceIfThePredecessorReportedItsStartsAsSettled() {
    JobSpec job = startWork();
    cluster.leader().crash(20);
    cluster.runFor(15);
    assertTrue(cluster.leader().actingLeader().failoverComplete());
    assertEquals(0, counter("renewals_awaiting_token"));
    assertEquals(0, counter("attempts_lost"));
    assertDone(job);
  }

  /** Guards against renewals by a leader that knows nothing of the starts of earlier leaders. */
  @Test
  void leasesAreRenewedAfterTheTokenWasRaisedIfNobodyReported() {
    JobSpec job = startWork();
    cluster.network.extraCommandDelayMicros = 600_000;
    cluster.controllers.values().forEach(controller -> controller.crash(1));
    cluster.runFor(15);
    assertTrue(cluster.leader().actingLeader().failoverComplete());
    assertTrue(counter("renewals_awaiting_token") > 0, "expected renewals to wait");
    assertEquals(0, counter("attempts_lost"));
    assertDone(job);
  }
}
