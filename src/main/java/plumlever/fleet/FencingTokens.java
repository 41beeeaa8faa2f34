package plumlever.fleet;

/**
 * The layout of fencing tokens: the high bits hold the term or the number of a machine's transfer,
 * and the low bits hold a counter per machine. A token of a later term is therefore higher than any
 * token of an earlier term.
 */
final class FencingTokens {
  private static final int TERM_SHIFT = 20;

  /**
   * The leader ends its term when only this many fencing tokens of the term are left for a machine,
   * because the counter would otherwise run into the tokens of the next term. More than a leader
   * sends to a machine in a second.
   */
  private static final long RESERVE = 1 << 16;

  private static final long MAX_COUNTER = (1L << TERM_SHIFT) - RESERVE;

  private FencingTokens() {}

  static long firstOf(long term) {
    return term << TERM_SHIFT;
  }

  static long termOf(long token) {
    return token >>> TERM_SHIFT;
  }

  /**
   * True if so few tokens are left before the first token of the next term that the leader must end
   * its term.
   */
  static boolean nearlyExhausted(long token, long term) {
    return token >= firstOf(term) + MAX_COUNTER;
  }
}
