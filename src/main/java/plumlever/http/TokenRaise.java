package plumlever.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import plumlever.settings.Endpoint;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.ProtocolPath;
import plumlever.wire.WorkerCommand;

/**
 * Raises the fencing token of a machine by a direct call without commands. Once the machine has
 * answered, it executes no command with a lower token, and the answer lists every task that such
 * commands have started.
 */
final class TokenRaise {
  private static final long TIMEOUT_MICROS = 1_000_000;

  private final HttpClient httpClient;

  TokenRaise(HttpClient httpClient) {
    this.httpClient = httpClient;
  }

  /**
   * Raises the token of the machine that sent the heartbeat.
   *
   * @param onState receives the machine's state after it has seen the token; empty if it has not
   *     answered, or if it is no longer in the heartbeat's incarnation. Called exactly once.
   */
  void send(Heartbeat heartbeat, long token, Consumer<Optional<Heartbeat>> onState) {
    Optional<Endpoint> endpoint = Endpoint.parse(heartbeat.endpoint());
    if (endpoint.isEmpty()) {
      onState.accept(Optional.empty());
      return;
    }
    byte[] body =
        WorkerCommand.directCall(token, heartbeat.incarnation(), List.of())
            .getBytes(StandardCharsets.UTF_8);
    httpClient.call(
        endpoint.get(),
        "POST",
        ProtocolPath.COMMANDS,
        body,
        TIMEOUT_MICROS,
        (status, data) ->
            onState.accept(
                status == HttpStatus.OK ? parseState(heartbeat, data) : Optional.empty()));
  }

  private static Optional<Heartbeat> parseState(Heartbeat heartbeat, byte[] data) {
    try {
      return Optional.of(Heartbeat.parse(data))
          .filter(state -> state.machineId().equals(heartbeat.machineId()))
          .filter(state -> state.incarnation() == heartbeat.incarnation());
    } catch (InvalidMessageException e) {
      return Optional.empty();
    }
  }
}
