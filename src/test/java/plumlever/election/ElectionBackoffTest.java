package plumlever.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Candidates that failed at the same time retry at different times, and wait longer after each lost
 * election.
 */
final class ElectionBackoffTest {
  private static final int PAUSES = 1_000;

  private final ElectionBackoff backoff = new ElectionBackoff(new SplittableRandom(1));

  private long shortestAttemptPauseMicros() {
    long shortest = Long.MAX_VALUE;
    for (int i = 0; i < PAUSES; i++) {
      shortest = Math.min(shortest, backoff.beforeAttemptMicros());
    }
    return shortest;
  }

  @Test
  void theFirstAttemptHasNoMinimumPause() {
    assertTrue(shortestAttemptPauseMicros() < 10_000);
  }

  @Test
  void lostElectionsIncreaseThePauseUpToALimit() {
    backoff.electionLost();
    long afterOne = shortestAttemptPauseMicros();
    for (int i = 0; i < 5; i++) {
      backoff.electionLost();
    }
    long afterSix = shortestAttemptPauseMicros();
    backoff.electionLost();
    long afterSeven = shortestAttemptPauseMicros();

    assertTrue(afterOne >= 150_000 && afterSix >= 6 * 150_000);
    assertEquals(afterSix / 1e6, afterSeven / 1e6, 0.01);
  }

  @Test
  void aWonElectionResetsTheBackoff() {
    backoff.electionLost();

    backoff.electionWon();

    assertTrue(shortestAttemptPauseMicros() < 10_000);
  }

  @Test
  void retriesWaitAtLeastTheMinimumPause() {
    for (int i = 0; i < PAUSES; i++) {
      assertTrue(backoff.beforeReadMicros() >= ElectionBackoff.RETRY_MICROS);
      assertTrue(backoff.beforeRetryMicros() >= ElectionBackoff.RETRY_MICROS);
    }
  }
}
