package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/** Tests that jobs which wait in vain do not keep other jobs from getting machines. */
final class WaitingJobsTest {
  private static final String EXHAUSTED_ZONE = "a";
  private static final String OTHER_ZONE = "b";

  /** Three times as many as a pass searches, so that kinds have to wait for later passes. */
  private static final int KINDS = 120;

  /** Boot, image fetch, run time of 10 s, and the pauses of heartbeats, polls and passes. */
  private static final double MAX_SERVICE_S = 60;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          81, 3, List.of(new PlatformConfiguration.Team("blue", 16, 0, 0, 0)), true);
  private final FakeUsers users = new FakeUsers(cluster);

  private JobSpec submit(TestJob job) {
    JobSpec spec = job.build();
    users.submit(spec, false);
    return spec;
  }

  private TestJob jobIn(String zone) {
    return TestJob.job(users.nextUid())
        .jobClass(SimulatedCluster.PATIENT_CLASS)
        .zone(zone)
        .cores(2)
        .memoryGb(2);
  }

  private String status(JobSpec job) {
    return cluster.invariants.lastReportedStatus.get(job.uid());
  }

  /** Guards against a limit on searches that always reaches only the jobs that come first. */
  @ParameterizedTest
  @ValueSource(ints = {26, 400})
  void jobsOfAZoneWithoutCapacityDoNotKeepOthersFromGettingMachines(int waitingJobs) {
    cluster.cloud.exhaustedZones.add(EXHAUSTED_ZONE);
    cluster.runFor(5);
    for (int i = 0; i < waitingJobs; i++) {
      submit(jobIn(EXHAUSTED_ZONE));
    }
    cluster.runFor(30);
    JobSpec job = submit(jobIn(OTHER_ZONE));
    cluster.runFor(MAX_SERVICE_S);
    assertEquals("done", status(job));
    assertEquals(List.of(), cluster.invariants.violations);
  }

  /** Guards against kinds of jobs that never take their turn. */
  @Test
  void everyKindOfWaitingJobTakesItsTurn() {
    cluster.cloud.exhaustedZones.add(EXHAUSTED_ZONE);
    cluster.runFor(5);
    for (int i = 0; i < KINDS; i++) {
      submit(jobIn(EXHAUSTED_ZONE).memoryGb(1 + i / 100.0));
    }
    cluster.runFor(30);
    JobSpec job = submit(jobIn(OTHER_ZONE));
    cluster.runFor(MAX_SERVICE_S);
    assertEquals("done", status(job));
    assertEquals(List.of(), cluster.invariants.violations);
  }
}
