package plumlever.fleet;

/** How a machine's account of itself came. */
public enum HeartbeatSource {
  /** The worker sent it by itself and waits for the answer. */
  WORKER,

  /**
   * It is the body of the reply to a direct call, which proves nothing about an answer that is on
   * its way to the worker.
   */
  DIRECT_REPLY
}
