package plumlever.fleet;

/** How the command that starts an attempt gets to its worker. */
public enum StartChannel {
  /** In the answer to the machine's last heartbeat. */
  HEARTBEAT_ANSWER,

  /** In a call that the leader makes, which may be executed late. */
  DIRECT_COMMAND
}
