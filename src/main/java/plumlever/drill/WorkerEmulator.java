package plumlever.drill;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.http.Responder;
import plumlever.settings.Endpoint;
import plumlever.wire.AttemptState;
import plumlever.wire.ExitCause;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.WorkerCommand;

/**
 * Emulates the protocol of the worker of one machine. {@link TaskResults} determines how long the
 * tasks run.
 */
final class WorkerEmulator {
  private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 500_000;
  private static final long NEXT_CONTROLLER_DELAY_MICROS = 1_000_000;
  private static final long TIMEOUT_MICROS = 4_000_000;
  private static final long FETCH_MICROS = 300_000;
  private static final long LEASE_CHECK_MICROS = 200_000;

  /** An attempt to run a task on this machine, whether running or ended. */
  private static final class Task {
    private final String name;
    private final long attempt;
    private AttemptState status = AttemptState.FETCHING;
    private ExitCause cause;

    Task(String name, long attempt) {
      this.name = name;
      this.attempt = attempt;
    }
  }

  /** The dependencies and settings that all workers of a drill share. */
  record Environment(
      EventLoop loop,
      HttpClient httpClient,
      List<Endpoint> controllers,
      Map<String, Endpoint> endpointByLabel,
      TaskResults results,
      long heartbeatMicros,
      long leaseMicros) {}

  private final Environment environment;
  private final EventLoop loop;
  private final String machine;
  private final String zone;
  private final String endpoint;
  private final Map<Long, Task> tasks = new LinkedHashMap<>();
  private int controllerIndex;
  private Endpoint controller;
  private long incarnation = 1;
  private long sequenceNumber;
  private long fencingToken;
  private long leaseFromMicros;
  private boolean heartbeatInFlight;
  private boolean stateChanged;
  private long lastSentMicros;
  private EventLoop.Timer timer;
  private boolean removed;

  WorkerEmulator(
      Environment environment, String machine, String zone, String endpoint, int firstController) {
    this.environment = environment;
    this.loop = environment.loop();
    this.machine = machine;
    this.zone = zone;
    this.endpoint = endpoint;
    this.controllerIndex = firstController;
    this.controller = environment.controllers().get(firstController);
    this.leaseFromMicros = loop.nowMicros();
    schedule(0);
    loop.after(LEASE_CHECK_MICROS, this::checkLease);
  }

  /** Returns the number of tasks that are running. */
  int running() {
    return (int)
        tasks.values().stream().filter(task -> task.status == AttemptState.RUNNING).count();
  }

  /** Ends the worker because the machine was returned to the cloud. */
  void remove() {
    removed = true;
    tasks.values().forEach(task -> environment.results().recordRemoval(task.name, machine));
    tasks.clear();
  }

  private void checkLease() {
    if (removed) {
      return;
    }
    if (loop.nowMicros() - leaseFromMicros > environment.leaseMicros()) {
      tasks.values().forEach(task -> environment.results().recordRemoval(task.name, machine));
      tasks.clear();
      incarnation++;
      leaseFromMicros = loop.nowMicros();
      environment.results().recordLeaseExpiry();
    }
    loop.after(LEASE_CHECK_MICROS, this::checkLease);
  }

  private void schedule(long delayMicros) {
    if (timer != null) {
      timer.cancel();
    }
    timer = loop.after(Math.max(0, delayMicros), this::sendHeartbeat);
  }

  private void sendHeartbeatSoon() {
    stateChanged = true;
    if (!heartbeatInFlight) {
      schedule(lastSentMicros + MIN_HEARTBEAT_INTERVAL_MICROS - loop.nowMicros());
    }
  }

  private void sendHeartbeat() {
    if (heartbeatInFlight || removed) {
      return;
    }
    heartbeatInFlight = true;
    stateChanged = false;
    lastSentMicros = loop.nowMicros();
    long sentMicros = lastSentMicros;
    long sentIncarnation = incarnation;
    environment
        .httpClient()
        .call(
            controller,
            "POST",
            "/hello",
            heartbeatBody(),
            TIMEOUT_MICROS,
            (status, body) -> {
              heartbeatInFlight = false;
              if (status == HttpStatus.OK) {
                handleResponse(body, sentMicros, sentIncarnation);
                schedule(
                    stateChanged ? MIN_HEARTBEAT_INTERVAL_MICROS : environment.heartbeatMicros());
              } else {
                selectController(status, body);
              }
            });
  }

  private void selectController(int status, byte[] body) {
    Endpoint named = null;
    if (status == HttpStatus.MISDIRECTED_REQUEST) {
      try {
        named = environment.endpointByLabel().get(Json.parseObject(body).path("foreman").asText());
      } catch (InvalidMessageException e) {
        named = null;
      }
    }
    if (named != null && !named.equals(controller)) {
      controller = named;
      schedule(MIN_HEARTBEAT_INTERVAL_MICROS / 2);
    } else {
      controllerIndex = (controllerIndex + 1) % environment.controllers().size();
      controller = environment.controllers().get(controllerIndex);
      schedule(NEXT_CONTROLLER_DELAY_MICROS);
    }
  }

  private void handleResponse(byte[] body, long sentMicros, long sentIncarnation) {
    try {
      ObjectNode response = Json.parseObject(body);
      long receivedToken = response.path("baton").asLong();
      if (sentIncarnation != incarnation || receivedToken < fencingToken) {
        return;
      }
      stateChanged |= receivedToken > fencingToken;
      fencingToken = receivedToken;
      leaseFromMicros = Math.max(leaseFromMicros, sentMicros);
      WorkerCommand.parseResponse(body).forEach(this::execute);
    } catch (InvalidMessageException e) {
      environment
          .results()
          .reportViolation("unreadable response to " + machine + ": " + e.getMessage());
    }
  }

  /** Handles a request that a controller sends to the worker; a removed worker never answers. */
  void handle(String method, String path, byte[] body, Responder out) {
    if (removed) {
      return;
    }
    if (path.equals("/orders") && method.equals("POST")) {
      try {
        ObjectNode request = Json.parseObject(body);
        if (Json.isAbsent(request, "baton") || Json.isAbsent(request, "tenure")) {
          out.error(HttpStatus.BAD_REQUEST, "baton or tenure is missing");
          return;
        }
        long receivedToken = request.path("baton").asLong();
        if (receivedToken < fencingToken || request.path("tenure").asLong() != incarnation) {
          out.send(HttpStatus.CONFLICT, new String(heartbeatBody(), StandardCharsets.UTF_8));
          return;
        }
        if (receivedToken > fencingToken) {
          fencingToken = receivedToken;
          sendHeartbeatSoon();
        }
        WorkerCommand.parseResponse(body).forEach(this::execute);
      } catch (InvalidMessageException e) {
        out.error(HttpStatus.BAD_REQUEST, e.getMessage());
        return;
      }
    }
    out.send(HttpStatus.OK, new String(heartbeatBody(), StandardCharsets.UTF_8));
  }

  private void execute(WorkerCommand command) {
    Task task = tasks.get(command.attempt());
    switch (command.type()) {
      case RUN -> {
        if (task == null) {
          run(command.task().wireName(), command.attempt());
        }
      }
      case STOP -> {
        if (task != null && task.status != AttemptState.ENDED) {
          end(task, ExitCause.STOPPED);
        }
      }
      case REMOVE -> {
        if (task != null && task.status == AttemptState.ENDED) {
          tasks.remove(command.attempt());
        }
      }
      default -> throw new IllegalStateException("unexpected command type: " + command.type());
    }
  }

  private void run(String name, long attempt) {
    Task task = new Task(name, attempt);
    boolean alreadyHere =
        tasks.values().stream()
            .anyMatch(other -> other.name.equals(name) && other.status != AttemptState.ENDED);
    tasks.put(attempt, task);
    if (alreadyHere) {
      task.status = AttemptState.ENDED;
      task.cause = ExitCause.IN_USE;
    } else {
      loop.after(FETCH_MICROS, () -> startRunning(task));
    }
    sendHeartbeatSoon();
  }

  private boolean isInState(Task task, AttemptState status) {
    return tasks.get(task.attempt) == task && task.status == status;
  }

  private void startRunning(Task task) {
    if (isInState(task, AttemptState.FETCHING)) {
      task.status = AttemptState.RUNNING;
      long runMicros = environment.results().recordStart(task.name, machine);
      loop.after(runMicros, () -> complete(task));
      sendHeartbeatSoon();
    }
  }

  private void complete(Task task) {
    if (isInState(task, AttemptState.RUNNING)) {
      environment.results().recordCompletion(task.name);
      end(task, ExitCause.DONE);
    }
  }

  private void end(Task task, ExitCause cause) {
    task.status = AttemptState.ENDED;
    task.cause = cause;
    environment.results().recordRemoval(task.name, machine);
    sendHeartbeatSoon();
  }

  private byte[] heartbeatBody() {
    ObjectNode heartbeat =
        Json.object()
            .put("host", machine)
            .put("endpoint", endpoint)
            .put("flavor", CloudEmulator.TYPE)
            .put("site", zone)
            .put("loaners", false)
            .put("tenure", incarnation)
            .put("tick", ++sequenceNumber)
            .put("baton", fencingToken);
    ArrayNode attempts = heartbeat.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode attempt =
          attempts
              .addObject()
              .put("piece", task.name)
              .put("try", task.attempt)
              .put("status", task.status.wireName());
      if (task.cause != null) {
        attempt.put("exit_cause", task.cause.wireName());
      }
    }
    return Json.write(heartbeat).getBytes(StandardCharsets.UTF_8);
  }
}
