package plumlever.fleet;

/** The kind of message in which a heartbeat arrived. */
public enum HeartbeatSource {
  /** A request that the worker sent on its own; the worker waits for the response. */
  WORKER,

  /**
   * The response to a direct call (a call from the leader to the worker). A heartbeat in such a
   * response does not show whether an earlier heartbeat response has reached the worker.
   */
  DIRECT_RESPONSE
}
