package plumlever.fleet;

/**
 * How an attempt came to be on its machine.
 *
 * @param answeredSequenceNumber of the heartbeat whose answer started it, or {@link #NONE}
 * @param directCommandToken of the direct command that started it, or {@link #NONE}
 */
record AttemptOrigin(long answeredSequenceNumber, long directCommandToken) {
  /** Stands for a number or token of an origin that has none. */
  static final long NONE = -1;

  /** An attempt of an earlier term, which its machine reported. */
  static final AttemptOrigin REPORTED = new AttemptOrigin(NONE, NONE);

  static AttemptOrigin answerTo(long sequenceNumber) {
    return new AttemptOrigin(sequenceNumber, NONE);
  }

  static AttemptOrigin directCommand(long token) {
    return new AttemptOrigin(NONE, token);
  }
}
