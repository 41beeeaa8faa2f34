package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;

/** Tests that a controller uses only its share of the state service's limits on request rates. */
final class RequestBudgetTest {
  private static final int REQUESTS_PER_S = 100;
  private static final int WRITES_PER_S = 20;

  private final RequestBudget budget =
      new RequestBudget(
          new PlatformConfiguration.StateLimits(REQUESTS_PER_S, WRITES_PER_S, 4096, 8), 0);

  /** Returns how many of 1,000 ordinary requests sent at the same time are admitted. */
  private int admitted(int operations, long nowMicros) {
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted +=
          budget.tryAdmit(StateClient.RequestPriority.ORDINARY, operations, nowMicros) ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void admitsHalfOfTheRequestLimit() {
    assertEquals(REQUESTS_PER_S / 2, admitted(0, 0));
  }

  @Test
  void admitsHalfOfTheWriteLimit() {
    assertEquals(WRITES_PER_S / 2, admitted(1, 0));
  }

  @Test
  void admitsMoreWritesForALeader() {
    budget.setLeading(true, 0);
    // The share of a leader is 70% of the write limit of 20 per second.
    assertEquals(14, admitted(1, 1_000_000));
  }

  @Test
  void alwaysAdmitsAndChargesUrgentRequests() {
    assertEquals(REQUESTS_PER_S / 2, admitted(0, 0));
    for (int i = 0; i < REQUESTS_PER_S / 2; i++) {
      assertTrue(budget.tryAdmit(StateClient.RequestPriority.URGENT, 0, 0));
    }
    assertEquals(
        0, admitted(0, 1_000_000), "the refill of one second only repays the urgent requests");
  }
}
