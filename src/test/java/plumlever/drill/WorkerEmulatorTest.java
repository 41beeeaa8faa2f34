package plumlever.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import plumlever.concurrent.ManualEventLoop;
import plumlever.http.HttpClient;
import plumlever.settings.Endpoint;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;
import plumlever.wire.ProtocolPath;
import plumlever.wire.TaskName;
import plumlever.wire.WorkerCommand;

/** Tests that the emulated worker follows the protocol where the drill relies on it. */
final class WorkerEmulatorTest {
  private static final long LEASE_MICROS = 20_000_000;
  private static final long LEASE_CHECK_MICROS = 200_000;
  private static final int UNANSWERED = 0;
  private static final long TOKEN = 7;

  private final ManualEventLoop loop = new ManualEventLoop(1_000_000_000L);

  /** A network in which no heartbeat reaches a controller. */
  private final HttpClient httpClient = (to, method, path, body, timeoutMicros, handler) -> {};

  private final WorkerEmulator worker =
      new WorkerEmulator(
          new WorkerEmulator.Environment(
              loop,
              httpClient,
              List.of(new Endpoint("nowhere", 1)),
              Map.of(),
              results(),
              3_000_000,
              LEASE_MICROS),
          "i-1",
          "a",
          "i-1:9",
          0);

  private int status;

  private static TaskResults results() {
    TaskResults results = new TaskResults();
    results.recordSubmission("job-1", 10 * LEASE_MICROS);
    return results;
  }

  private int start(long incarnation) {
    return sendCommands(
        WorkerCommand.directCall(
            TOKEN, incarnation, List.of(WorkerCommand.run(new TaskName("job-1", 0), incarnation))));
  }

  private int sendCommands(String body) {
    status = UNANSWERED;
    worker.handle(
        "POST",
        ProtocolPath.COMMANDS,
        body.getBytes(StandardCharsets.UTF_8),
        (answered, json, retry) -> status = answered);
    return status;
  }

  @Test
  void tasksOfAnIncarnationWithoutRenewalEndWithItsLease() {
    loop.advance(LEASE_MICROS / 2);
    assertEquals(200, start(1));
    loop.advance(LEASE_MICROS / 2 - LEASE_CHECK_MICROS);
    assertEquals(1, worker.running());

    loop.advance(3 * LEASE_CHECK_MICROS);

    assertEquals(0, worker.running());
    assertEquals(409, start(1));
    assertEquals(200, start(2));
  }

  @Test
  void theLeaseOfALaterIncarnationRunsFromItsBeginning() {
    loop.advance(LEASE_MICROS + 2 * LEASE_CHECK_MICROS);
    assertEquals(200, start(2));

    loop.advance(LEASE_MICROS - 3 * LEASE_CHECK_MICROS);
    assertEquals(1, worker.running());
    loop.advance(4 * LEASE_CHECK_MICROS);

    assertEquals(0, worker.running());
  }

  @Test
  void commandsWithoutTokenOrIncarnationAreRefusedAsMalformed() {
    assertEquals(400, sendCommands(Json.write(Json.object().put(ProtocolField.INCARNATION, 1))));
    assertEquals(
        400, sendCommands(Json.write(Json.object().put(ProtocolField.FENCING_TOKEN, TOKEN))));
  }

  @Test
  void aReturnedMachineAnswersNothingAndRunsNothing() {
    worker.remove();

    assertEquals(UNANSWERED, start(1));
    loop.advance(LEASE_MICROS);

    assertEquals(0, worker.running());
  }
}
