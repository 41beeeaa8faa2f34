package plumlever.fleet;

/**
 * The fencing tokens that are given out for one machine. A machine refuses every command and answer
 * with a token below the highest one that it has seen, so a raised token makes void what was sent
 * before it.
 */
public final class MachineTokens {
  private long current;
  private long term;
  private long lastRenewal;
  private long lastCommand = -1;
  private long endsKnownAtLastCommandMicros;

  /** The token that answers and commands to the machine carry now. */
  public long current() {
    return current;
  }

  /** Raises the token to at least this one; it never falls. */
  public void raise(long token) {
    current = Math.max(current, token);
  }

  /** The term, or the number of the machine's transfer, that its tokens belong to. */
  public long term() {
    return term;
  }

  /** From now on the tokens are those of this number, which is higher than any before. */
  public void startTerm(long number) {
    term = number;
    raise(Fleet.firstToken(number));
  }

  /** True if whoever reported this token has seen one that this leader gave out. */
  public boolean isOfSameTerm(long reportedToken) {
    return Fleet.termOf(reportedToken) == term;
  }

  /**
   * A direct command carries the present token; until the token is raised a copy of it may be
   * carried out late. There is no other without an answer at that time.
   *
   * @param endsKnownMicros when the last heard read of ended jobs had been sent
   */
  public void commandSent(long endsKnownMicros) {
    lastCommand = current;
    endsKnownAtLastCommandMicros = endsKnownMicros;
  }

  /** What was known of ended jobs when the last direct command was sent. */
  public long endsKnownAtLastCommandMicros() {
    return endsKnownAtLastCommandMicros;
  }

  /** From the next answer on, no direct command sent before will be carried out. */
  public void voidDirectCommands() {
    raise(lastCommand + 1);
  }

  /**
   * True while a late copy of a direct command could still be carried out, as far as this side has
   * seen to it.
   */
  public boolean hasUnvoidedCommand() {
    return lastCommand >= current;
  }

  /** An answer with the present token let the machine renew its lease. */
  void recordRenewal() {
    lastRenewal = current;
  }

  /** The token of the last answer that let it renew its lease; 0 before the first. */
  public long lastRenewal() {
    return lastRenewal;
  }
}
