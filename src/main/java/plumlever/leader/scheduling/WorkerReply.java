package plumlever.leader.scheduling;

import java.util.Optional;
import plumlever.wire.Heartbeat;

/** What came of a direct call to a worker. */
sealed interface WorkerReply {
  /** The worker's own heartbeat, if the reply had one that could be read. */
  Optional<Heartbeat> heartbeat();

  /** The worker carried the commands out; this is its state after them. */
  record Accepted(Heartbeat state) implements WorkerReply {
    @Override
    public Optional<Heartbeat> heartbeat() {
      return Optional.of(state);
    }
  }

  /**
   * The worker carried nothing out and never will: its token or incarnation has moved on.
   *
   * @param heartbeat empty if its state could not be read
   */
  record Refused(Optional<Heartbeat> heartbeat) implements WorkerReply {}

  /** No reply, or none that could be read: the commands may be carried out, also later. */
  record Unanswered() implements WorkerReply {
    @Override
    public Optional<Heartbeat> heartbeat() {
      return Optional.empty();
    }
  }
}
