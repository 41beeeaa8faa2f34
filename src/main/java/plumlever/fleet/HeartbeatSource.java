package plumlever.fleet;

/** The message in which a machine's report arrived. */
public enum HeartbeatSource {
  /** A heartbeat that the worker sent on its own; the worker waits for the response. */
  WORKER,

  /**
   * The body of the reply to a direct call. The reply does not show whether an earlier heartbeat
   * response has reached the worker.
   */
  DIRECT_REPLY
}
