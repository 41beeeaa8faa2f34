package plumlever.fleet;

/** The message in which a machine's report arrived. */
public enum HeartbeatSource {
  /** A heartbeat that the worker sent on its own; the worker waits for the response. */
  WORKER,

  /**
   * The body of the reply to a direct call. It shows nothing about a response that is still on its
   * way to the worker.
   */
  DIRECT_REPLY
}
