package plumlever.fleet;

/**
 * The fencing tokens that are issued for one machine. A machine refuses every command and answer
 * with a token below the highest one that it has seen, so a raised token voids what was sent before
 * it.
 */
public final class MachineTokens {
  private long current;
  private long term;
  private long lastRenewal;
  private long lastCommand = -1;
  private long endsKnownAtLastCommandMicros;

  /** The token that answers and commands to the machine carry. */
  public long current() {
    return current;
  }

  /** Raises the token to at least this one; it never decreases. */
  public void raise(long token) {
    current = Math.max(current, token);
  }

  /** The term, or the number of the machine's transfer, that its tokens belong to. */
  public long term() {
    return term;
  }

  /** From now on the tokens belong to this term or transfer, which is later than any before. */
  public void startTerm(long number) {
    term = number;
    raise(FencingTokens.firstOf(number));
  }

  /** True if this token is of the present term, so that this leader issued it. */
  public boolean isOfSameTerm(long reportedToken) {
    return FencingTokens.termOf(reportedToken) == term;
  }

  /** True if the tokens of the present term are nearly used up. */
  boolean nearlyExhausted() {
    return FencingTokens.nearlyExhausted(current, term);
  }

  /**
   * A direct command with the present token is sent; until the token is raised, a copy of it may be
   * executed late. No other direct command is unanswered at that time.
   *
   * @param endsKnownMicros when the last read of ended jobs that has been answered was sent
   */
  public void commandSent(long endsKnownMicros) {
    lastCommand = current;
    endsKnownAtLastCommandMicros = endsKnownMicros;
  }

  /** The time that {@link #commandSent} was last given. */
  public long endsKnownAtLastCommandMicros() {
    return endsKnownAtLastCommandMicros;
  }

  /** Raises the token so that, once it has arrived, no direct command sent before is executed. */
  public void voidDirectCommands() {
    raise(lastCommand + 1);
  }

  /** True unless the token has been raised since the last direct command. */
  public boolean hasUnvoidedCommand() {
    return lastCommand >= current;
  }

  /** An answer with the present token renews the machine's lease. */
  void recordRenewal() {
    lastRenewal = current;
  }

  /** The token of the last answer that renewed its lease; 0 before the first. */
  public long lastRenewal() {
    return lastRenewal;
  }
}
