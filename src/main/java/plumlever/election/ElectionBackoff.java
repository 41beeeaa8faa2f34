package plumlever.election;

import java.util.SplittableRandom;

/**
 * Computes the pauses before election requests. The pauses contain random jitter so that
 * controllers that failed at the same time do not retry at the same time. Used on the election loop
 * only.
 */
final class ElectionBackoff {
  /** The shortest pause before a failed election request to the state service is repeated. */
  static final long RETRY_MICROS = 400_000;

  private static final int READ_JITTER_MICROS = 200_000;
  private static final int RETRY_JITTER_MICROS = 400_000;
  private static final int ATTEMPT_JITTER_MICROS = 250_000;
  private static final long BACKOFF_PER_LOST_ELECTION_MICROS = 150_000;

  /**
   * Each lost election in a row lengthens the pause before the next attempt, up to this number of
   * lost elections.
   */
  private static final int MAX_LOST_ELECTIONS = 6;

  private final SplittableRandom random;
  private int lostElections;

  ElectionBackoff(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the pause before the leadership records are read again after a failed read. */
  long beforeReadMicros() {
    return RETRY_MICROS + random.nextInt(READ_JITTER_MICROS);
  }

  /**
   * Returns the pause before the next election attempt after the previous attempt failed because a
   * request had no response.
   */
  long beforeRetryMicros() {
    return RETRY_MICROS + random.nextInt(RETRY_JITTER_MICROS);
  }

  /**
   * Returns the pause before an election attempt after leadership has become vacant; it grows with
   * each lost election.
   */
  long beforeAttemptMicros() {
    return lostElections * BACKOFF_PER_LOST_ELECTION_MICROS + random.nextInt(ATTEMPT_JITTER_MICROS);
  }

  void electionLost() {
    lostElections = Math.min(lostElections + 1, MAX_LOST_ELECTIONS);
  }

  void electionWon() {
    lostElections = 0;
  }
}
