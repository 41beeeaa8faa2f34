package plumlever.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the backoff before a job's next attempt. */
final class RetryBackoffTest {
  private static final long NOW = 5_000_000;

  @ParameterizedTest
  @CsvSource({"1, 1", "2, 1", "3, 2", "4, 4", "7, 32", "8, 60", "9, 60", "100, 60"})
  void delayDoublesAfterSecondErrorUpToOneMinute(int errors, long delayS) {
    RetryBackoff backoff = new RetryBackoff();
    for (int i = 0; i < errors; i++) {
      backoff.recordError(NOW);
    }
    assertEquals(NOW + delayS * 1_000_000, backoff.retryNotBeforeMicros());
  }

  @ParameterizedTest
  @CsvSource({"1", "100"})
  void successResetsDelay(int errors) {
    RetryBackoff backoff = new RetryBackoff();
    for (int i = 0; i < errors; i++) {
      backoff.recordError(NOW);
    }
    backoff.recordSuccess();
    assertEquals(0, backoff.retryNotBeforeMicros());

    backoff.recordError(NOW);
    assertEquals(NOW + 1_000_000, backoff.retryNotBeforeMicros());
  }
}
