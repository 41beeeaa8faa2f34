package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * Tests preemption in a fleet that cannot grow: an urgent job would miss its deadline unless tasks
 * of lower priority that write checkpoints are stopped.
 */
final class PreemptionTest {
  private static final double LONG_RUN_S = 400;

  private final SimulatedCluster cluster =
      new SimulatedCluster(5, 1, List.of(new PlatformConfiguration.Team("red", 0, 0, 0, 0)), false);
  private final FakeUsers users = new FakeUsers(cluster);

  @BeforeEach
  void limitFleetSize() {
    cluster.cloud.capacity = 2;
  }

  private JobSpec submit(
      Priority priority, int tasks, double runS, double checkpointIntervalS, double deadlineS) {
    JobSpec job =
        TestJob.job(users.nextUid())
            .jobClass("c1")
            .team("red")
            .priority(priority)
            .tasks(tasks)
            .runS(runS)
            .checkpoints(checkpointIntervalS, 1)
            .deadlineS(deadlineS)
            .build();
    users.submit(job, false);
    return job;
  }

  private long preempted() {
    return cluster.leader().controller().metrics().counter("preempted");
  }

  @Test
  void checkpointingTaskIsPreemptedForUrgentDeadline() {
    submit(Priority.IDLE, 200, LONG_RUN_S, 10, JobSpec.NO_DEADLINE);
    cluster.runFor(150);
    JobSpec urgent = submit(Priority.PROD, 1, 10, 0, 60);
    cluster.runFor(40);
    assertTrue(preempted() > 0, "at least one task is preempted");
    assertTrue(cluster.invariants.hasStarted(urgent.uid()), "the urgent job has started");
    assertEquals(List.of(), cluster.invariants.violations);
  }

  @Test
  void taskWithoutCheckpointsIsNotPreempted() {
    submit(Priority.IDLE, 200, LONG_RUN_S, 0, JobSpec.NO_DEADLINE);
    cluster.runFor(150);
    submit(Priority.PROD, 1, 10, 0, 60);
    cluster.runFor(40);
    assertEquals(0, preempted());
  }

  @Test
  void taskOfSamePriorityIsNotPreempted() {
    submit(Priority.PROD, 200, LONG_RUN_S, 10, JobSpec.NO_DEADLINE);
    cluster.runFor(150);
    submit(Priority.PROD, 1, 10, 0, 60);
    cluster.runFor(40);
    assertEquals(0, preempted());
  }
}
