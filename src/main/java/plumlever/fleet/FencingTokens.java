package plumlever.fleet;

/**
 * The layout of fencing tokens: the term, or the number of a machine's transfer, in the high bits
 * and a counter for each machine in the low ones. So a token of a later term is higher than any of
 * an earlier one.
 */
final class FencingTokens {
  private static final int TERM_SHIFT = 20;

  /** Tokens left when a term has to end: more than a machine is sent in a second. */
  private static final long RESERVE = 1 << 16;

  private static final long MAX_COUNTER = (1L << TERM_SHIFT) - RESERVE;

  private FencingTokens() {}

  /** The lowest token of a term. */
  static long firstOf(long term) {
    return term << TERM_SHIFT;
  }

  static long termOf(long token) {
    return token >>> TERM_SHIFT;
  }

  /** True if the token is near the first one of the next term. */
  static boolean nearlyExhausted(long token, long term) {
    return token >= firstOf(term) + MAX_COUNTER;
  }
}
