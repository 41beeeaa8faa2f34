package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that the sharing policy transfers machines to the shard that needs them. */
final class SharingTest {
  @Test
  void policyTransfersMachinesToShardWithDemand() {
    PoolScenario pool = new PoolScenario(1, 0, 24);
    for (int round = 0; round < 3; round++) {
      for (int i = 0; i < 8; i++) {
        pool.submit("n" + 2 * round, 12, 25);
      }
      pool.cluster.runFor(40);
    }
    pool.assertAllJobsEnd(200);
    long taken =
        pool.cluster.controllers.values().stream()
            .mapToLong(controller -> controller.controller().metrics().counter("machines_taken"))
            .sum();
    assertTrue(taken >= 12, "machine transfers: " + taken);
    pool.assertEveryTaskStartedOnce();
  }
}
