package plumlever.leader.scheduling;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.fleet.Machine;
import plumlever.http.HttpClient;
import plumlever.leader.context.TermContext;
import plumlever.settings.Endpoint;
import plumlever.wire.Heartbeat;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.ProtocolPath;
import plumlever.wire.WorkerCommand;

/** Sends direct calls to workers and parses the responses. Makes no scheduling decisions. */
final class WorkerCalls {
  private final Logger log;
  private final HttpClient httpClient;

  WorkerCalls(TermContext context) {
    this.log = context.loggerProvider().of(WorkerCalls.class);
    this.httpClient = context.httpClient();
  }

  /**
   * Sends commands with the machine's current fencing token and incarnation.
   *
   * @param onResponse receives the result exactly once, on the event loop
   */
  void sendCommands(
      Machine machine,
      Endpoint endpoint,
      List<WorkerCommand> commands,
      long timeoutMicros,
      Consumer<WorkerResponse> onResponse) {
    byte[] body =
        WorkerCommand.directCall(
                machine.tokens().current(), Math.max(1, machine.contact().incarnation()), commands)
            .getBytes(StandardCharsets.UTF_8);
    httpClient.call(
        endpoint,
        "POST",
        ProtocolPath.COMMANDS,
        body,
        timeoutMicros,
        (status, data) -> onResponse.accept(parseCommandResponse(machine, status, data)));
  }

  private WorkerResponse parseCommandResponse(Machine machine, int status, byte[] data) {
    return switch (status) {
      case HttpStatus.OK ->
          parseHeartbeat(machine, data)
              .<WorkerResponse>map(WorkerResponse.Accepted::new)
              .orElseGet(WorkerResponse.Unanswered::new);
      case HttpStatus.CONFLICT -> new WorkerResponse.Refused(parseHeartbeat(machine, data));
      default -> new WorkerResponse.Unanswered();
    };
  }

  /**
   * Requests the machine's state without sending a command.
   *
   * @param onState receives the state exactly once, on the event loop; empty if there is no valid
   *     response
   */
  void inspect(
      Machine machine,
      Endpoint endpoint,
      long timeoutMicros,
      Consumer<Optional<Heartbeat>> onState) {
    httpClient.call(
        endpoint,
        "GET",
        ProtocolPath.INSPECT,
        null,
        timeoutMicros,
        (status, data) ->
            onState.accept(
                status == HttpStatus.OK ? parseHeartbeat(machine, data) : Optional.empty()));
  }

  /** Parses the machine's heartbeat; empty if the data is invalid or names another machine. */
  private Optional<Heartbeat> parseHeartbeat(Machine machine, byte[] data) {
    try {
      return Optional.of(Heartbeat.parse(data))
          .filter(heartbeat -> heartbeat.machineId().equals(machine.id()));
    } catch (InvalidMessageException e) {
      log.warn(
          "machine {} sent an invalid response to a direct call: {}", machine.id(), e.getMessage());
      return Optional.empty();
    }
  }
}
