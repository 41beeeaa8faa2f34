package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/** When machines that nothing needs are given back, where money matters. */
final class MachineReturnTest {
  private final World world =
      new World(17, 3, List.of(new Platform.Team("blue", 16, 0, 0, 0)), true);
  private final FakeUsers users = new FakeUsers(world);

  private JobSpec job(int tasks, double runS) {
    return new JobSpec(
        users.nextUid(),
        "c1",
        "blue",
        Urgency.IDLE,
        tasks,
        1,
        0,
        2,
        "img",
        1,
        null,
        null,
        false,
        false,
        true,
        runS,
        0,
        0,
        JobSpec.NO_DEADLINE);
  }

  /**
   * A machine is paid for at least a minute, so it is not given back sooner. A new leader learns
   * from the cloud's list how long each has been rented: taking all of them for just rented kept an
   * idle fleet for a minute after each change of leader.
   */
  @Test
  void aNewLeaderKnowsHowLongMachinesHaveBeenRented() {
    world.play(5);
    JobSpec job = job(40, 60);
    users.submit(job, false);
    world.play(85);
    int machines = world.cloud.machines.size();
    assertTrue(machines >= 5, "machines " + machines);
    world.leader().crash(1);
    world.play(45);
    assertEquals("done", world.rules.lastTold.get(job.uid()));
    assertTrue(
        world.cloud.machines.size() <= machines / 4,
        "kept " + world.cloud.machines.size() + " of " + machines);
    assertEquals(List.of(), world.rules.broken);
  }
}
