package plumlever.fleet;

/**
 * How an attempt was started on its machine.
 *
 * @param heartbeatSequenceNumber sequence number of the heartbeat whose response started the
 *     attempt, or {@link #NONE}
 * @param directCommandToken fencing token of the direct command that started the attempt, or {@link
 *     #NONE}
 */
record AttemptOrigin(long heartbeatSequenceNumber, long directCommandToken) {
  /** Placeholder for a missing sequence number or token. */
  static final long NONE = -1;

  /** The origin of an attempt of an earlier term that its machine reported. */
  static final AttemptOrigin ADOPTED = new AttemptOrigin(NONE, NONE);

  static AttemptOrigin heartbeatResponse(long sequenceNumber) {
    return new AttemptOrigin(sequenceNumber, NONE);
  }

  static AttemptOrigin directCommand(long token) {
    return new AttemptOrigin(NONE, token);
  }
}
