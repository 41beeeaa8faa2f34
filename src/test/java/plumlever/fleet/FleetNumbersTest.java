package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the limits on the attempt numbers and fencing tokens of a term. Guards against a term that
 * lasts for days in a large fleet and issues numbers that belong to the next term.
 */
final class FleetNumbersTest {
  private static final long TERM = 7;

  @Test
  void reportsExhaustionBeforeAttemptNumbersReachNextTerm() {
    assertFalse(
        new Fleet(TERM, new AttemptNumbers(TERM, 16_000_000)).attemptNumbersNearlyExhausted());
    assertTrue(
        new Fleet(TERM, new AttemptNumbers(TERM, 16_720_000)).attemptNumbersNearlyExhausted());
  }

  @Test
  void reportsExhaustionBeforeTokensReachNextTerm() {
    Fleet fleet = new Fleet(TERM);
    Machine machine = new Machine("i-000001", "i-000001:9", "small", "a", false, 0);
    fleet.add(machine);
    assertFalse(fleet.tokensNearlyExhausted(machine));

    machine.tokens().raise(Fleet.firstToken(TERM) + 1_000_000);

    assertTrue(fleet.tokensNearlyExhausted(machine));
    assertEquals(TERM, Fleet.termOf(machine.tokens().current()));
  }
}
