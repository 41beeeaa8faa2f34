package plumlever.fleet;

/** The message that carries the start command of an attempt to the worker. */
public enum StartChannel {
  /** The response to the machine's last heartbeat. */
  HEARTBEAT_RESPONSE,

  /** A call from the leader to the worker, which may be executed late. */
  DIRECT_COMMAND
}
