package plumlever.warmup;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.concurrent.EventLoop;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ProtocolField;

/** In-memory machines that execute every command. All tasks take the same time. */
final class InMemoryMachines {
  private static final long FETCH_MICROS = 800_000;
  private static final long RUN_MICROS = 4_000_000;
  private static final double LISTED_AGE_S = 100;

  private static final class Task {
    final String name;
    final long attempt;
    final long startedMicros;
    String exitCause;

    Task(String name, long attempt, long startedMicros) {
      this.name = name;
      this.attempt = attempt;
      this.startedMicros = startedMicros;
    }
  }

  private static final class InMemoryMachine {
    final String id;
    final String endpoint;
    final String machineType;
    final boolean spot;
    final String zone;
    final Map<Long, Task> tasks = new LinkedHashMap<>();
    long sequenceNumber;
    long fencingToken;

    InMemoryMachine(int number, String endpoint) {
      this.id = String.format("i-%06d", number);
      this.endpoint = endpoint;
      this.machineType = number % 2 == 0 ? "large" : "small";
      this.spot = number % 3 == 0;
      this.zone = number % 4 < 2 ? "a" : "b";
    }
  }

  private final EventLoop loop;
  private final Map<String, InMemoryMachine> machinesById = new LinkedHashMap<>();

  InMemoryMachines(EventLoop loop, int count, String endpoint) {
    this.loop = loop;
    for (int number = 1; number <= count; number++) {
      InMemoryMachine machine = new InMemoryMachine(number, String.format(endpoint, number));
      machinesById.put(machine.id, machine);
    }
  }

  List<String> ids() {
    return List.copyOf(machinesById.keySet());
  }

  /** Returns the id of the machine with the given endpoint. */
  String machineAt(String endpoint) {
    return machinesById.values().stream()
        .filter(machine -> machine.endpoint.equals(endpoint))
        .findFirst()
        .orElseThrow()
        .id;
  }

  /** Returns the cloud's listing of all machines. */
  String listing() {
    ObjectNode listing = Json.object().put("more", false);
    ArrayNode array = listing.putArray(ProtocolField.MACHINE_IDS);
    for (InMemoryMachine machine : machinesById.values()) {
      array
          .addObject()
          .put(ProtocolField.LISTED_MACHINE_ID, machine.id)
          .put(ProtocolField.ENDPOINT, machine.endpoint)
          .put(ProtocolField.MACHINE_TYPE, machine.machineType)
          .put(ProtocolField.ZONE, machine.zone)
          .put(ProtocolField.SPOT, machine.spot)
          .put(ProtocolField.STATUS, "running")
          .put("age_s", LISTED_AGE_S);
    }
    return Json.write(listing);
  }

  byte[] heartbeat(String machineId) {
    InMemoryMachine machine = machinesById.get(machineId);
    machine.sequenceNumber++;
    ObjectNode heartbeat =
        Json.object()
            .put(ProtocolField.MACHINE_ID, machine.id)
            .put(ProtocolField.ENDPOINT, machine.endpoint)
            .put(ProtocolField.MACHINE_TYPE, machine.machineType)
            .put(ProtocolField.ZONE, machine.zone)
            .put(ProtocolField.SPOT, machine.spot)
            .put(ProtocolField.INCARNATION, 1)
            .put(ProtocolField.SEQUENCE_NUMBER, machine.sequenceNumber)
            .put(ProtocolField.FENCING_TOKEN, machine.fencingToken)
            .putNull(ProtocolField.PREEMPTION_NOTICE_S);
    ArrayNode attempts = heartbeat.putArray(ProtocolField.ATTEMPTS);
    for (Task task : machine.tasks.values()) {
      attempts.add(attempt(task));
    }
    return Json.write(heartbeat).getBytes(StandardCharsets.UTF_8);
  }

  private ObjectNode attempt(Task task) {
    long ageMicros = loop.nowMicros() - task.startedMicros;
    if (task.exitCause == null && ageMicros > FETCH_MICROS + RUN_MICROS) {
      task.exitCause = "done";
    }
    ObjectNode attempt =
        Json.object()
            .put(ProtocolField.TASK, task.name)
            .put(ProtocolField.ATTEMPT, task.attempt)
            .put(ProtocolField.STATUS, state(task, ageMicros));
    if (task.exitCause != null) {
      attempt.put("exit_cause", task.exitCause);
    }
    return attempt;
  }

  private static String state(Task task, long ageMicros) {
    if (task.exitCause != null) {
      return "ended";
    }
    return ageMicros > FETCH_MICROS ? "running" : "pulling";
  }

  void executeCommands(String machineId, String response) {
    InMemoryMachine machine = machinesById.get(machineId);
    ObjectNode commands;
    try {
      commands = Json.parseObject(response);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("unreadable response of the controller: " + response, e);
    }
    machine.fencingToken =
        Math.max(machine.fencingToken, commands.path(ProtocolField.FENCING_TOKEN).asLong());
    commands.path(ProtocolField.COMMANDS).forEach(command -> execute(machine, command));
  }

  private void execute(InMemoryMachine machine, JsonNode command) {
    long attempt = command.path(ProtocolField.ATTEMPT).asLong();
    switch (command.path(ProtocolField.COMMAND_TYPE).asText()) {
      case "run" -> {
        String name = command.path(ProtocolField.TASK).asText();
        machine.tasks.putIfAbsent(attempt, new Task(name, attempt, loop.nowMicros()));
      }
      case "halt" -> {
        Task task = machine.tasks.get(attempt);
        if (task != null && task.exitCause == null) {
          task.exitCause = "halted";
        }
      }
      default -> machine.tasks.remove(attempt);
    }
  }
}
