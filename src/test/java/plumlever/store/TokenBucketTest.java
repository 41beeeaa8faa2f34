package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that the token bucket keeps the rate of requests within a limit. */
final class TokenBucketTest {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * Returns how many tokens the bucket gives out in the second after {@code beginMicros}, when one
   * token is requested every 10 ms.
   */
  private static int tokensTakenWithinSecond(TokenBucket bucket, long beginMicros) {
    int taken = 0;
    for (int i = 0; i < 100; i++) {
      taken += bucket.tryAcquire(1, beginMicros + i * 10_000L) ? 1 : 0;
    }
    return taken;
  }

  @Test
  void aFullBucketAllowsABurstAndThenItsRate() {
    int taken = tokensTakenWithinSecond(new TokenBucket(10, 0), 0);
    assertTrue(
        taken >= 18 && taken <= 20,
        "expected a burst of 10 tokens and 8 to 10 refilled ones, got " + taken);
  }

  @Test
  void aHigherRateAppliesImmediately() {
    TokenBucket bucket = new TokenBucket(10, 0);
    tokensTakenWithinSecond(bucket, 0);
    bucket.setRate(20, SECOND_MICROS);
    int taken = tokensTakenWithinSecond(bucket, SECOND_MICROS);
    assertTrue(
        taken >= 19 && taken <= 21,
        "expected about 20 tokens in one second at the doubled rate, got " + taken);
  }

  @Test
  void tokensTakenOnCreditAreRepaidFirst() {
    TokenBucket bucket = new TokenBucket(20, 0);
    tokensTakenWithinSecond(bucket, 0);
    bucket.acquireOnCredit(5, SECOND_MICROS);
    assertFalse(
        bucket.tryAcquire(1, SECOND_MICROS + 100_000),
        "only 2 of 5 borrowed tokens are repaid after 100 ms");
    assertTrue(
        bucket.tryAcquire(1, SECOND_MICROS + 400_000),
        "all 5 borrowed tokens are repaid after 400 ms");
  }
}
