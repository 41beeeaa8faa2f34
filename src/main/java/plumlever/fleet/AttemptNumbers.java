package plumlever.fleet;

/**
 * Issues the attempt numbers of a term. The high bits hold the term and the low bits a counter, so
 * the numbers are unique across terms without being stored.
 */
final class AttemptNumbers {
  private static final int TERM_SHIFT = 24;

  /**
   * The leader ends its term when only this many attempt numbers of the term are left, because the
   * counter would otherwise run into the numbers of the next term. More than a leader issues in a
   * second.
   */
  private static final long RESERVE = 1 << 16;

  private static final long MAX_COUNTER = (1L << TERM_SHIFT) - RESERVE;

  private final long term;
  private long counter;

  AttemptNumbers(long term) {
    this(term, 0);
  }

  /**
   * @param issued number of attempt numbers of the term that have already been issued
   */
  AttemptNumbers(long term, long issued) {
    this.term = term;
    this.counter = issued;
  }

  long next() {
    counter++;
    return (term << TERM_SHIFT) | counter;
  }

  /** True if at most {@link #RESERVE} attempt numbers of the term are left. */
  boolean nearlyExhausted() {
    return counter >= MAX_COUNTER;
  }

  boolean isOfEarlierTerm(long attemptId) {
    return attemptId >>> TERM_SHIFT < term;
  }
}
