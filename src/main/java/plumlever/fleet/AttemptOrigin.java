package plumlever.fleet;

/**
 * How an attempt was started on its machine.
 *
 * @param heartbeatSequenceNumber sequence number of the heartbeat whose response started the
 *     attempt, or {@link #NONE}
 * @param directCommandToken fencing token of the direct command (a command sent in a call to the
 *     worker, not in the response to a heartbeat) that started the attempt, or {@link #NONE}
 */
record AttemptOrigin(long heartbeatSequenceNumber, long directCommandToken) {
  /**
   * Value of the sequence number or of the token if the attempt was not started by a heartbeat
   * response or by a direct command, respectively.
   */
  static final long NONE = -1;

  /** The origin of an attempt that this leader did not start but learned about later. */
  static final AttemptOrigin ADOPTED = new AttemptOrigin(NONE, NONE);

  static AttemptOrigin heartbeatResponse(long sequenceNumber) {
    return new AttemptOrigin(sequenceNumber, NONE);
  }

  static AttemptOrigin directCommand(long token) {
    return new AttemptOrigin(NONE, token);
  }
}
