package plumlever.fleet;

/**
 * The fencing tokens issued for a machine. The machine rejects every command and response with a
 * token lower than the highest one that it has seen, so a raised token invalidates all earlier
 * messages.
 */
public final class MachineTokens {
  private long current;
  private long term;
  private long lastRenewalToken;
  private long lastCommandToken = -1;
  private long endedJobsReadAtLastCommandMicros;

  /** The fencing token that messages of the leader to the machine currently carry. */
  public long current() {
    return current;
  }

  /** Raises the current fencing token to at least this value. The token never decreases. */
  public void raise(long token) {
    current = Math.max(current, token);
  }

  /**
   * The term of the leader, or the number of the machine's transfer between shards, to which the
   * current token belongs.
   */
  public long term() {
    return term;
  }

  /**
   * Sets the high bits of the machine's tokens to a new term or transfer number, which must be
   * higher than all earlier ones, and raises the token to the first token with these high bits.
   */
  public void startTerm(long number) {
    term = number;
    raise(FencingTokens.firstOf(number));
  }

  /**
   * True if the reported token was issued by this leader: it belongs to the same term or transfer
   * as the current token.
   */
  public boolean isOfSameTerm(long reportedToken) {
    return FencingTokens.termOf(reportedToken) == term;
  }

  /** True if few fencing tokens of the current term are left for the machine. */
  boolean nearlyExhausted() {
    return FencingTokens.nearlyExhausted(current, term);
  }

  /**
   * Records a direct command (a command sent in a call to the worker, not in the response to a
   * heartbeat) that carries the current token. A delayed duplicate of the command may be executed
   * until the token is raised. At most one direct command is in flight at a time.
   *
   * @param endedJobsReadMicros time at which the last successful read of ended jobs was sent
   */
  public void recordDirectCommand(long endedJobsReadMicros) {
    lastCommandToken = current;
    endedJobsReadAtLastCommandMicros = endedJobsReadMicros;
  }

  /**
   * Time at which the last successful read of the ended jobs before the last direct command (a
   * command sent in a call to the worker) was sent.
   */
  public long endedJobsReadAtLastCommandMicros() {
    return endedJobsReadAtLastCommandMicros;
  }

  /**
   * Raises the token above that of the last direct command (a command sent in a call to the
   * worker). Once the machine has received the new token, it executes no earlier direct command.
   */
  public void fenceDirectCommands() {
    raise(lastCommandToken + 1);
  }

  /**
   * True if a direct command (a command sent in a call to the worker) has been sent and the token
   * has not been raised since, so that a delayed duplicate could still be executed.
   */
  public boolean hasUnfencedCommand() {
    return lastCommandToken >= current;
  }

  /** Records that a response with the current token renews the machine's lease. */
  void recordRenewal() {
    lastRenewalToken = current;
  }

  /**
   * The fencing token in the last response that renewed the machine's lease; 0 before the first
   * renewal.
   */
  public long lastRenewalToken() {
    return lastRenewalToken;
  }
}
