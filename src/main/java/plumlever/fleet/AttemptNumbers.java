package plumlever.fleet;

/**
 * Issues the numbers of a term's attempts. They are unique over all terms without being stored: the
 * term is in the high bits, a counter in the low ones.
 */
final class AttemptNumbers {
  private static final int TERM_SHIFT = 24;

  /** Numbers left when a term has to end: more than are issued in a second. */
  private static final long RESERVE = 1 << 16;

  private static final long MAX_COUNTER = (1L << TERM_SHIFT) - RESERVE;

  private final long term;
  private long counter;

  AttemptNumbers(long term) {
    this(term, 0);
  }

  /**
   * @param issued how many numbers of the term count as issued
   */
  AttemptNumbers(long term, long issued) {
    this.term = term;
    this.counter = issued;
  }

  long next() {
    counter++;
    return (term << TERM_SHIFT) | counter;
  }

  /** True if the numbers are near those of the next term. */
  boolean nearlyExhausted() {
    return counter >= MAX_COUNTER;
  }

  boolean isOfEarlierTerm(long attemptId) {
    return attemptId >>> TERM_SHIFT < term;
  }
}
