package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/**
 * Delivers copies of direct start commands that were executed and answered before, again and again
 * during the whole simulation. Meanwhile tasks are cancelled, fail and move, and controllers and
 * machines are back within a second. The emulated worker reports each copy that starts an attempt
 * which has been removed.
 */
final class LateCommandCopyTest {
  private static final long COPIES_INTERVAL_MICROS = 700_000;
  private static final long DISTURBANCE_INTERVAL_MICROS = 9_000_000;
  private static final long SUBMISSION_INTERVAL_MICROS = 1_300_000;
  private static final long MACHINE_DOWN_MICROS = 290_000;
  private static final double CONTROLLER_DOWN_S = 0.3;
  private static final double DISTURBED_S = 150;
  private static final double RECOVERY_S = 130;
  private static final int JOBS = 100;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          401,
          3,
          List.of(
              new PlatformConfiguration.Team("red", 16, 48, 0, 0),
              new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
          false);
  private final FakeUsers users = new FakeUsers(cluster);
  private final List<JobSpec> jobs = new ArrayList<>();

  /** What happens to tasks, machines and controllers between the copies. */
  enum Disturbance {
    NONE(test -> {}),
    TASKS_FAIL_AND_MOVE(test -> test.anyWorker().endOne("error")),
    MACHINE_IS_BACK_WITHIN_A_SECOND(test -> test.anyWorker().restart(MACHINE_DOWN_MICROS)),
    LEADER_IS_BACK_WITHIN_A_SECOND(test -> test.cluster.leader().crash(CONTROLLER_DOWN_S)),
    ALL_CONTROLLERS_ARE_BACK_WITHIN_A_SECOND(
        test ->
            test.cluster
                .controllers
                .values()
                .forEach(controller -> controller.crash(CONTROLLER_DOWN_S))),
    MACHINE_AND_LEADER_ARE_BACK_WITHIN_A_SECOND(
        test -> {
          test.anyWorker().restart(MACHINE_DOWN_MICROS);
          test.cluster.leader().crash(CONTROLLER_DOWN_S);
        });

    private final Consumer<LateCommandCopyTest> action;

    Disturbance(Consumer<LateCommandCopyTest> action) {
      this.action = action;
    }
  }

  private FakeWorker anyWorker() {
    List<FakeWorker> busy = new ArrayList<>();
    for (FakeCloud.Vm vm : cluster.cloud.machines.values()) {
      if (vm.worker != null && vm.worker.hasLiveTasks()) {
        busy.add(vm.worker);
      }
    }
    return busy.get(cluster.random.nextInt(busy.size()));
  }

  private int refusedCopies() {
    return cluster.cloud.machines.values().stream()
        .filter(vm -> vm.worker != null)
        .mapToInt(vm -> vm.worker.refusedCopies)
        .sum();
  }

  private void repeatWhileDisturbed(long intervalMicros, Runnable action) {
    long endMicros = cluster.now() + (long) (DISTURBED_S * 1e6);
    cluster.at(
        intervalMicros,
        new Runnable() {
          @Override
          public void run() {
            if (cluster.now() < endMicros) {
              action.run();
              cluster.at(intervalMicros, this);
            }
          }
        });
  }

  private void submitNext() {
    if (jobs.size() == JOBS) {
      return;
    }
    int number = jobs.size();
    JobSpec job =
        TestJob.job(users.nextUid())
            .team(number % 3 == 0 ? "red" : "blue")
            .tasks(1 + number % 4)
            .cores(2)
            .memoryGb(2)
            .runS(3 + number % 30)
            .build();
    jobs.add(job);
    users.submit(job, number % 5 == 0);
  }

  /**
   * Guards against a copy of an executed start that runs a moved, cancelled or ended task again.
   */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void copiesOfExecutedStartsStartNothing(Disturbance disturbance) {
    cluster.cloud.addRunningMachines(10);
    cluster.network.recordsExecutedCommands = true;
    cluster.runFor(15);
    repeatWhileDisturbed(SUBMISSION_INTERVAL_MICROS, this::submitNext);
    repeatWhileDisturbed(COPIES_INTERVAL_MICROS, cluster.network::deliverCopiesOfExecutedCommands);
    cluster.runFor(10);
    repeatWhileDisturbed(DISTURBANCE_INTERVAL_MICROS, () -> disturbance.action.accept(this));
    cluster.runFor(DISTURBED_S);
    cluster.faultsEndedAtMicros = cluster.now();
    cluster.runFor(RECOVERY_S);
    assertEquals(List.of(), cluster.invariants.violations);
    assertTrue(refusedCopies() > 1_000, "refused copies: " + refusedCopies());
    jobs.forEach(
        job ->
            assertTrue(
                List.of("done", "aborted")
                    .contains(cluster.invariants.lastReportedStatus.get(job.uid())),
                job.uid()));
  }
}
