package plumlever.election;

import java.util.SplittableRandom;

/**
 * Pauses before requests of the election are repeated. They are random, so that candidates that
 * failed together do not try again together. Used on the election's loop only.
 */
final class ElectionBackoff {
  /** The shortest pause before a request is repeated. */
  static final long RETRY_MICROS = 400_000;

  private static final int READ_JITTER_MICROS = 200_000;
  private static final int ATTEMPT_JITTER_MICROS = 400_000;
  private static final int CANDIDACY_JITTER_MICROS = 250_000;
  private static final long PER_LOST_ELECTION_MICROS = 150_000;
  private static final int MAX_LOST_ELECTIONS = 6;

  private final SplittableRandom random;
  private int lostElections;

  ElectionBackoff(SplittableRandom random) {
    this.random = random;
  }

  /** Before the leadership records are read again. */
  long beforeReadMicros() {
    return RETRY_MICROS + random.nextInt(READ_JITTER_MICROS);
  }

  /** Before another attempt, where one could not be begun for want of an answer. */
  long beforeRetryMicros() {
    return RETRY_MICROS + random.nextInt(ATTEMPT_JITTER_MICROS);
  }

  /** Before standing for a leadership that has become free: longer after each lost election. */
  long beforeCandidacyMicros() {
    return lostElections * PER_LOST_ELECTION_MICROS + random.nextInt(CANDIDACY_JITTER_MICROS);
  }

  void electionLost() {
    lostElections = Math.min(lostElections + 1, MAX_LOST_ELECTIONS);
  }

  void electionWon() {
    lostElections = 0;
  }
}
