package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.Json;

/**
 * Tests that a controller lowers its limits on the size of writes after refused writes, because the
 * state service may lower its limits without notice.
 */
final class WriteLimitsTest {
  private static final int VALUE_BYTES = 16384;
  private static final int OPERATIONS = 12;

  private final WriteLimits limits =
      new WriteLimits(
          new PlatformConfiguration.StateLimits(100, 20, VALUE_BYTES, OPERATIONS, VALUE_BYTES));

  private static Transaction oneLargeValue() {
    return new Transaction().put("a", Json.object().put("x", "y".repeat(9_000)));
  }

  private static Transaction tenDeletes() {
    Transaction transaction = new Transaction();
    for (int i = 0; i < 10; i++) {
      transaction.delete("k" + i);
    }
    return transaction;
  }

  @Test
  void aRefusedLargeValueLowersTheValueLimit() {
    limits.lowerAfterRefusal(oneLargeValue());
    assertTrue(
        limits.maxValueBytes() < 9_000 && limits.maxValueBytes() >= 4_000,
        "maximum value bytes: " + limits.maxValueBytes());
    assertEquals(
        OPERATIONS,
        limits.maxOperations(),
        "a transaction of one operation does not lower the operation limit");
  }

  @Test
  void manyRefusedOperationsLowerTheOperationLimit() {
    limits.lowerAfterRefusal(tenDeletes());
    assertEquals(5, limits.maxOperations());
  }

  @Test
  void refusalsDoNotLowerLimitsBelowTheMinimum() {
    for (int i = 0; i < 21; i++) {
      limits.lowerAfterRefusal(oneLargeValue());
      limits.lowerAfterRefusal(tenDeletes());
    }
    assertTrue(
        limits.maxValueBytes() >= WriteLimits.MIN_VALUE_BYTES
            && limits.maxOperations() >= WriteLimits.MIN_OPERATIONS);
  }

  /**
   * Distinguishes writes attached to a lease. If such a write is rejected as malformed, the size
   * limits stay as they are, because the cause may be that the lease has ended.
   */
  @Test
  void onlyPutsWithALeaseAttachATransactionToALease() {
    assertTrue(new Transaction().put("a", Json.object(), 7).isAttachedToLease());
    assertFalse(oneLargeValue().isAttachedToLease());
  }
}
