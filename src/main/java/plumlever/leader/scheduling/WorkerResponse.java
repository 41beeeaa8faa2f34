package plumlever.leader.scheduling;

import java.util.Optional;
import plumlever.wire.Heartbeat;

/** Result of a direct call to a worker. */
sealed interface WorkerResponse {
  /** The state of the worker in the form of a heartbeat, if the response contained a valid one. */
  Optional<Heartbeat> heartbeat();

  /**
   * The worker executed the commands.
   *
   * @param state the worker's state after the commands
   */
  record Accepted(Heartbeat state) implements WorkerResponse {
    @Override
    public Optional<Heartbeat> heartbeat() {
      return Optional.of(state);
    }
  }

  /**
   * The worker rejected the commands and will never execute them, because the worker's token or
   * incarnation is newer.
   *
   * @param heartbeat the worker's state; empty if the response contained no valid heartbeat
   */
  record Refused(Optional<Heartbeat> heartbeat) implements WorkerResponse {}

  /**
   * No valid response arrived. The worker may have executed the commands or may still execute them.
   */
  record Unanswered() implements WorkerResponse {
    @Override
    public Optional<Heartbeat> heartbeat() {
      return Optional.empty();
    }
  }
}
