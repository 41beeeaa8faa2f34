package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.JobSpec;

/**
 * The story: two zones lost each other a few milliseconds after the leader had sent the first tasks
 * of a job straight to machines of both. Those in the other zone were held back by the network. The
 * user cancelled the job two and a half seconds later and was told that it is cancelled. The leader
 * let the other controllers renew leases in the zone that it could not reach, and one of them did,
 * for as long as the zones were apart. When they found each other again, after a minute, the held
 * commands arrived, and two machines started tasks of the job 57 s after its cancellation, in a
 * deployment that has 56 s for it.
 *
 * <p>The cause: a command without an answer is voided by a higher token or by the end of the
 * incarnation. The higher token stood in the leader's books only. The renewing controller answered
 * with the token that the machine's heartbeat showed and stopped what the heartbeat listed, so
 * neither came.
 *
 * <p>The evidence: starts with the first token of the term arriving at the moment at which the
 * partition ended, in incarnations as old as the partition, while the stops to reached machines had
 * long gone out with the next token.
 */
final class HeldStartTest {
  private static final double APART_S = 62;
  private static final long CANCEL_AFTER_MICROS = 2_600_000;
  private static final long CHANGE_AFTER_MICROS = 14_000_000;
  private static final long COMMANDS_TAKE_MICROS = 200_000;

  private SimulatedCluster cluster;
  private FakeUsers users;
  private final List<JobSpec> running = new ArrayList<>();

  private void deployment(long seed) {
    cluster =
        new SimulatedCluster(
            seed,
            3,
            List.of(
                new PlatformConfiguration.Team("red", 16, 96, 0, 0),
                new PlatformConfiguration.Team("blue", 16, 0, 0, 0)),
            false);
    users = new FakeUsers(cluster);
  }

  private JobSpec submit(String team, int taskCount, double expectedRunS) {
    JobSpec job =
        TestJob.job(users.nextUid())
            .team(team)
            .tasks(taskCount)
            .cores(2)
            .memoryGb(2)
            .runS(expectedRunS)
            .build();
    users.submit(job, false);
    return job;
  }

  private Set<String> machinesIn(String zone) {
    Set<String> ids = new TreeSet<>();
    cluster.cloud.machines.values().stream()
        .filter(vm -> vm.zone.equals(zone) && vm.worker != null)
        .forEach(vm -> ids.add(vm.id));
    return ids;
  }

  private long counted(String counter) {
    return cluster.controllers.values().stream()
        .mapToLong(controller -> controller.controller().metrics().counter(counter))
        .sum();
  }

  private long attemptsIn(Set<String> machines) {
    return machines.stream()
        .mapToLong(id -> cluster.cloud.machines.get(id).worker.tasks.size())
        .sum();
  }

  /** A controller and the machines of zone a on one side, the others on the other. */
  private void cutZone(String controller, Set<String> behind, boolean on) {
    for (String other : cluster.controllers.keySet()) {
      if (!other.equals(controller)) {
        cluster.network.cut(controller, other, on);
        behind.forEach(machine -> cluster.network.cut(other, machine, on));
      }
    }
    cluster.cloud.machines.keySet().stream()
        .filter(machine -> !behind.contains(machine))
        .forEach(machine -> cluster.network.cut(controller, machine, on));
  }

  /** Brings the story about, up to a second before the zones find each other again. */
  private JobSpec cancelledWhileApart(long seed, Runnable whileApart) {
    deployment(seed);
    for (int i = 0; i < 6; i++) {
      running.add(submit("blue", 6, 150));
    }
    // What ends just before the partition leaves room in both zones.
    JobSpec brief = submit("blue", 24, 20);
    for (int i = 0; i < 90 && !"done".equals(cluster.invariants.lastTold.get(brief.uid())); i++) {
      cluster.play(1);
    }
    assertEquals("done", cluster.invariants.lastTold.get(brief.uid()));
    String leader = cluster.leader().platform.label();
    String behind =
        cluster.controllers.keySet().stream()
            .filter(n -> !n.equals(leader))
            .findFirst()
            .orElseThrow();
    Set<String> zone = machinesIn("a");
    assertTrue(attemptsIn(zone) > 0, "machines in the zone run tasks");

    cluster.network.extraCommandDelayMicros = COMMANDS_TAKE_MICROS;
    long commanded = counted("starts_sent");
    JobSpec cancelled = submit("blue", 24, 100);
    while (counted("starts_sent") == commanded) {
      cluster.play(0.01);
    }
    cutZone(behind, zone, true);
    cluster.network.extraCommandDelayMicros = 0;
    cluster.at(CANCEL_AFTER_MICROS, () -> users.cancel(cancelled.uid()));
    cluster.at((long) (APART_S * 1e6), () -> cutZone(behind, zone, false));
    cluster.at(CHANGE_AFTER_MICROS, whileApart);
    cluster.play(APART_S - 1);
    return cancelled;
  }

  @ParameterizedTest
  @ValueSource(longs = {211, 212, 213, 214})
  void aStartHeldByAPartitionIsNotCarriedOutAfterTheCancellation(long seed) {
    JobSpec cancelled = cancelledWhileApart(seed, () -> {});
    String leader = cluster.leader().platform.label();
    assertTrue(counted("leases_renewed_for_leader") > 20, "leases are renewed behind the cut");
    assertTrue(counted("direct_commands_unanswered") > 0, "starts have had no answer");
    assertTrue(cluster.network.delegations.voided > 0, "and are voided by renewals");
    cluster.play(60);
    assertEquals(List.of(), cluster.invariants.broken);
    assertEquals("aborted", cluster.invariants.lastTold.get(cancelled.uid()));
    assertEquals(leader, cluster.leader().platform.label());
    assertEquals(0, counted("attempts_lost"), "no task behind the cut was lost");
    cluster.play(120);
    running.forEach(job -> assertEquals("done", cluster.invariants.lastTold.get(job.uid())));
  }

  /** The leader that sent the starts ends while they are held, and its delegation with it. */
  @ParameterizedTest
  @ValueSource(longs = {221, 222, 223, 224})
  void norAfterAChangeOfLeader(long seed) {
    JobSpec cancelled = cancelledWhileApart(seed, () -> cluster.leader().crash(20));
    assertTrue(cluster.store.term() > 1, "another term has begun");
    cluster.play(200);
    assertEquals(List.of(), cluster.invariants.broken);
    assertEquals("aborted", cluster.invariants.lastTold.get(cancelled.uid()));
    running.forEach(job -> assertEquals("done", cluster.invariants.lastTold.get(job.uid())));
  }
}
