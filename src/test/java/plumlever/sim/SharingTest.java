package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import plumlever.settings.Platform;
import plumlever.settings.SharingSettings;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/** Three cells of two controllers each share machines, through failures of several of them. */
final class SharingTest {
  static final List<SharingSettings.Cell> CELLS =
      List.of(
          new SharingSettings.Cell("east", "east/", Set.of("n0", "n1"), 2, 1),
          new SharingSettings.Cell("north", "north/", Set.of("n2", "n3"), 2, 1),
          new SharingSettings.Cell("west", "west/", Set.of("n4", "n5"), 2, 1));

  private final List<JobSpec> all = new ArrayList<>();
  private SimulatedCluster cluster;
  private FakeUsers users;

  private void begin(long seed, double redLimit, int machines) {
    cluster =
        new SimulatedCluster(
            seed,
            6,
            List.of(
                new Platform.Team("red", 20, redLimit, 0, 0),
                new Platform.Team("blue", 20, 0, 0, 0)),
            false,
            InvariantChecker.CANCEL_MICROS,
            new Platform.StateLimits(400, 60, 4096, 8),
            CELLS);
    cluster.cloud.most = 1;
    cluster.cloud.provide(machines);
    users = new FakeUsers(cluster);
  }

  private JobSpec submit(String node, int tasks, double seconds) {
    JobSpec job =
        new JobSpec(
            users.nextUid(),
            "c1",
            all.size() % 2 == 0 ? "red" : "blue",
            Urgency.STANDARD,
            tasks,
            1,
            0,
            2,
            "img-1",
            1,
            null,
            null,
            false,
            false,
            true,
            seconds,
            0,
            0,
            JobSpec.NO_DEADLINE);
    all.add(job);
    users.connect(job.uid(), node);
    users.submit(job, false);
    return job;
  }

  private long counted(String counter) {
    return cluster.members.values().stream()
        .filter(member -> member.node() != null)
        .mapToLong(member -> member.node().metrics().counted(counter))
        .sum();
  }

  private void endsWell(double seconds) {
    cluster.calmSince = cluster.now();
    cluster.play(seconds);
    assertEquals(List.of(), cluster.invariants.broken);
    for (JobSpec job : all) {
      assertEquals("done", cluster.invariants.lastTold.get(job.uid()), job.uid());
    }
  }

  @Test
  void machinesMoveWithTheirTasksToTheCellThatLacksThem() {
    begin(1, 0, 24);
    cluster.play(30);
    for (int round = 0; round < 3; round++) {
      String node = "n" + 2 * round;
      for (int i = 0; i < 8; i++) {
        submit(node, 12, 25);
      }
      cluster.play(40);
    }
    endsWell(200);
    assertTrue(counted("machines_taken") >= 12, "moves: " + counted("machines_taken"));
    int tasks = all.stream().mapToInt(JobSpec::pieces).sum();
    assertEquals(tasks, cluster.invariants.starts, "no task was started anew");
    assertEquals(0, cluster.store.count("pool/transfers/"), "all transfers are settled");
  }
}
