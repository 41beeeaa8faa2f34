package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Requests stay within a rate. */
final class TokenBucketTest {
  private static final long SECOND_MICROS = 1_000_000;

  /** Tries to take a token a hundred times in the second that begins then. */
  private static int takenWithinSecond(TokenBucket bucket, long beginMicros) {
    int taken = 0;
    for (int i = 0; i < 100; i++) {
      taken += bucket.tryAcquire(1, beginMicros + i * 10_000L) ? 1 : 0;
    }
    return taken;
  }

  @Test
  void aFullBucketGivesABurstAndThenItsRate() {
    int taken = takenWithinSecond(new TokenBucket(10, 0), 0);
    assertTrue(taken >= 18 && taken <= 20, "a burst of ten and ten in the second: " + taken);
  }

  @Test
  void aHigherRateCountsFromWhenItIsSet() {
    TokenBucket bucket = new TokenBucket(10, 0);
    takenWithinSecond(bucket, 0);
    bucket.setRate(20, SECOND_MICROS);
    int taken = takenWithinSecond(bucket, SECOND_MICROS);
    assertTrue(taken >= 19 && taken <= 21, "twice as many in the next: " + taken);
  }

  @Test
  void whatUrgentRequestsBorrowIsPaidBackFirst() {
    TokenBucket bucket = new TokenBucket(20, 0);
    takenWithinSecond(bucket, 0);
    bucket.acquireOnCredit(5, SECOND_MICROS);
    assertFalse(bucket.tryAcquire(1, SECOND_MICROS + 100_000), "two of five are paid back");
    assertTrue(bucket.tryAcquire(1, SECOND_MICROS + 400_000), "all are");
  }
}
