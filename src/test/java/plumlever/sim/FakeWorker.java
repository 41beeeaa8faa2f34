package plumlever.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.settings.Endpoint;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * Emulates a worker machine: it sends heartbeats, executes commands, runs tasks, and ends its tasks
 * when its lease expires.
 */
final class FakeWorker implements SimulatedNetwork.Service {
  static final long LEASE_MICROS = 20_000_000;

  /** Time after which every task on a faulty machine fails. */
  private static final long FAULTY_RUN_MICROS = 300_000;

  /** Number of low bits of an attempt number that count attempts; the others are the term. */
  private static final int ATTEMPT_COUNTER_BITS = 24;

  /** A task attempt on this machine, in any state. */
  static final class Task {
    final String name;
    final long attempt;
    String status = "pulling";
    String cause;

    Task(String name, long attempt) {
      this.name = name;
      this.attempt = attempt;
    }

    boolean isRunningOrFlushing() {
      return status.equals("running") || status.equals("flushing");
    }
  }

  private final SimulatedCluster cluster;
  final FakeCloud.Vm vm;
  final Map<Long, Task> tasks = new LinkedHashMap<>();
  private final Set<Long> removedAttempts = new HashSet<>();
  private long incarnation = 1;
  private long sequenceNumber;
  private long fencingToken;
  private long leaseStartMicros;
  private String heartbeatTarget;
  private boolean heartbeatInFlight;
  private boolean heartbeatDue;
  private long lastHeartbeatMicros;
  private long nextHeartbeatMicros;
  private double preemptionNoticeS = -1;
  private boolean dead;

  /** Simulated time in microseconds until which the machine is down after a restart. */
  private long downUntilMicros;

  boolean hung;

  /** Number of refused start commands for attempts that had been removed before. */
  int refusedCopies;

  /** Number of tasks that have failed on a faulty machine. */
  int errors;

  /** True if every task fails shortly after its start. */
  boolean faulty;

  FakeWorker(SimulatedCluster cluster, FakeCloud.Vm vm) {
    this.cluster = cluster;
    this.vm = vm;
    this.leaseStartMicros = cluster.now();
    this.heartbeatTarget = "n" + cluster.random.nextInt(cluster.controllers.size());
    cluster.network.services.put(cluster.workerEndpoint.apply(vm.id), this);
    cluster.at(0, this::heartbeat);
    cluster.at(200_000, this::checkLease);
  }

  void terminate() {
    dead = true;
    tasks.values().forEach(t -> cluster.invariants.taskEnded(t.name, this));
    tasks.clear();
    cluster.network.services.remove(cluster.workerEndpoint.apply(vm.id));
  }

  /**
   * Restarts the machine: all tasks end, and the next incarnation begins with the fencing token and
   * the sequence number of the present one. The machine sends and handles nothing while it is down.
   */
  void restart(long downMicros) {
    beginNextIncarnation();
    downUntilMicros = cluster.now() + downMicros;
    scheduleHeartbeat(downMicros);
  }

  private void beginNextIncarnation() {
    tasks.values().forEach(t -> cluster.invariants.taskEnded(t.name, this));
    tasks.clear();
    incarnation++;
    leaseStartMicros = cluster.now();
  }

  private boolean isDown() {
    return cluster.now() < downUntilMicros;
  }

  /**
   * True once no attempt that was started in the incarnation, or in an earlier one, can run: the
   * worker's lease has ended or a later incarnation has begun.
   */
  boolean hasEndedIncarnation(long number) {
    return dead || incarnation > number || cluster.now() - leaseStartMicros > LEASE_MICROS;
  }

  /**
   * Sends a heartbeat to the controller now, whether or not an earlier one is still waiting for its
   * response.
   */
  void sendHeartbeatNow(String controller) {
    heartbeatTarget = controller;
    heartbeatInFlight = false;
    heartbeat();
  }

  /** Time since the event from which the worker's lease runs. */
  long leaseAgeMicros() {
    return cluster.now() - leaseStartMicros;
  }

  /** True if a task is live whose attempt number a leader of another term has assigned. */
  boolean hasLiveTasksOfOtherTerms(long term) {
    return tasks.values().stream()
        .anyMatch(
            task -> !task.status.equals("ended") && task.attempt >> ATTEMPT_COUNTER_BITS != term);
  }

  boolean hasLiveTasks() {
    return tasks.values().stream().anyMatch(task -> !task.status.equals("ended"));
  }

  boolean heartbeatsTo(String controller) {
    return !dead && heartbeatTarget.equals(controller);
  }

  /** Makes one running task save its progress for some seconds and then continue. */
  void checkpointOne(double seconds) {
    tasks.values().stream()
        .filter(task -> task.status.equals("running"))
        .findFirst()
        .ifPresent(
            task -> {
              task.status = "flushing";
              requestHeartbeat();
              cluster.at(
                  (long) (seconds * 1e6),
                  () -> {
                    if (task.status.equals("flushing")) {
                      task.status = "running";
                      requestHeartbeat();
                    }
                  });
            });
  }

  /** Ends one running task now with the given cause. */
  void endOne(String cause) {
    tasks.values().stream()
        .filter(task -> task.status.equals("running"))
        .findFirst()
        .ifPresent(
            task -> {
              if (cause.equals("done")) {
                cluster.invariants.complete(task.name);
              }
              endTask(task, cause);
            });
  }

  void announcePreemption(double seconds) {
    preemptionNoticeS = seconds;
    requestHeartbeat();
  }

  private void checkLease() {
    if (dead) {
      return;
    }
    // A worker ends its tasks when its lease expires. This also holds for a hung worker, whose
    // tasks continue only until the lease expires.
    if (cluster.now() - leaseStartMicros > LEASE_MICROS) {
      beginNextIncarnation();
    }
    cluster.at(200_000, this::checkLease);
  }

  private void requestHeartbeat() {
    if (heartbeatInFlight) {
      heartbeatDue = true;
    } else {
      scheduleHeartbeat(Math.max(10_000, lastHeartbeatMicros + 500_000 - cluster.now()));
    }
  }

  private void scheduleHeartbeat(long delay) {
    long when = cluster.now() + delay;
    if (nextHeartbeatMicros > cluster.now() && nextHeartbeatMicros <= when) {
      return;
    }
    nextHeartbeatMicros = when;
    cluster.at(
        delay,
        () -> {
          if (nextHeartbeatMicros == when) {
            heartbeat();
          }
        });
  }

  private void heartbeat() {
    if (dead || heartbeatInFlight) {
      return;
    }
    if (hung || isDown()) {
      scheduleHeartbeat(500_000);
      return;
    }
    heartbeatInFlight = true;
    heartbeatDue = false;
    lastHeartbeatMicros = cluster.now();
    long sent = lastHeartbeatMicros;
    long sentIncarnation = incarnation;
    String controller = heartbeatTarget;
    cluster.network.send(
        vm.id,
        new Endpoint(controller, 1),
        "POST",
        "/hello",
        Json.write(status()),
        4_000_000,
        response -> {
          heartbeatInFlight = false;
          if (dead) {
            return;
          }
          if (isDown()) {
            scheduleHeartbeat(downUntilMicros - cluster.now());
            return;
          }
          int status = response.status();
          if (status == 200) {
            handleResponse(response.body(), sent, sentIncarnation, controller);
            scheduleHeartbeat(
                heartbeatDue ? 500_000 : 2_250_000 + cluster.random.nextLong(1_500_000));
            return;
          }
          String leader = null;
          if (status == 421) {
            try {
              leader = Json.parseObject(response.body()).path("foreman").asText(null);
            } catch (InvalidMessageException e) {
              leader = null;
            }
          }
          if (leader != null
              && !leader.equals(controller)
              && cluster.controllers.containsKey(leader)) {
            heartbeatTarget = leader;
            scheduleHeartbeat(cluster.random.nextInt(500_000));
          } else {
            List<String> all = new ArrayList<>(cluster.controllers.keySet());
            heartbeatTarget = all.get((all.indexOf(controller) + 1) % all.size());
            scheduleHeartbeat(1_000_000);
          }
        });
  }

  private void handleResponse(String body, long sent, long sentIncarnation, String label) {
    try {
      ObjectNode object = Json.parseObject(body);
      long token = object.path("baton").asLong();
      if (sentIncarnation != incarnation || token < fencingToken) {
        return;
      }
      if (token > fencingToken) {
        fencingToken = token;
        heartbeatDue = true;
      }
      leaseStartMicros = Math.max(leaseStartMicros, sent);
      SimulatedController controller = cluster.controllers.get(label);
      if (controller != null && !controller.leads()) {
        cluster.network.delegationChecker.onDelegatedRenewal(vm.id, incarnation, token);
      }
      execute(object.path("orders"));
    } catch (InvalidMessageException e) {
      throw new AssertionError("invalid heartbeat response of a controller: " + body);
    }
  }

  private void execute(JsonNode commands) {
    for (JsonNode command : commands) {
      String name = command.path("piece").asText();
      long attempt = command.path("try").asLong();
      Task task = tasks.get(attempt);
      switch (command.path("verb").asText()) {
        case "run" -> {
          if (task == null) {
            fetchAndStart(name, attempt);
          }
        }
        case "halt" -> {
          if (task != null && !task.status.equals("ended")) {
            endTask(task, "halted");
          }
        }
        case "reap" -> {
          if (task != null && task.status.equals("ended")) {
            tasks.remove(attempt);
            removedAttempts.add(attempt);
            heartbeatDue = true;
          }
        }
        default ->
            throw new AssertionError("unknown command in a response or direct call: " + command);
      }
    }
  }

  /** Counts a refused copy of a command that started an attempt which has been removed since. */
  private void countRefusedCopy(JsonNode commands) {
    for (JsonNode command : commands) {
      if (removedAttempts.contains(command.path("try").asLong())) {
        refusedCopies++;
      }
    }
  }

  private void fetchAndStart(String name, long attempt) {
    if (removedAttempts.contains(attempt)) {
      // The protocol has no rule against a start command for an attempt that was already removed.
      // It is reported all the same, because it can lead to the violation of a rule.
      cluster.invariants.violations.add("restarted after the attempt was removed: " + name);
    }
    cluster.invariants.commandedToStart(name, this);
    Task task = new Task(name, attempt);
    tasks.put(attempt, task);
    heartbeatDue = true;
    for (Task other : tasks.values()) {
      if (other != task && other.name.equals(name) && !other.status.equals("ended")) {
        task.status = "ended";
        task.cause = "in_use";
        return;
      }
    }
    cluster.at(300_000 + cluster.random.nextInt(2_000_000), () -> start(task));
  }

  private void start(Task task) {
    if (dead || tasks.get(task.attempt) != task || !task.status.equals("pulling")) {
      return;
    }
    if (hung) {
      cluster.at(500_000, () -> start(task));
      return;
    }
    task.status = "running";
    cluster.invariants.started(task.name, this);
    requestHeartbeat();
    if (faulty || cluster.failingJobs.contains(task.name.split("/")[0])) {
      cluster.at(FAULTY_RUN_MICROS, () -> fail(task));
      return;
    }
    finishIn(
        task,
        cluster.invariants.completed(task.name) ? 0 : cluster.invariants.runMicros(task.name));
  }

  private void fail(Task task) {
    if (!dead && tasks.get(task.attempt) == task && task.status.equals("running")) {
      errors++;
      endTask(task, "error");
    }
  }

  private void finishIn(Task task, long micros) {
    cluster.at(
        micros,
        () -> {
          if (dead || tasks.get(task.attempt) != task || !task.status.equals("running")) {
            return;
          }
          if (hung) {
            finishIn(task, 500_000);
            return;
          }
          cluster.invariants.complete(task.name);
          endTask(task, "done");
        });
  }

  private void endTask(Task task, String cause) {
    task.status = "ended";
    task.cause = cause;
    cluster.invariants.taskEnded(task.name, this);
    requestHeartbeat();
  }

  private ObjectNode status() {
    ObjectNode object =
        Json.object()
            .put("host", vm.id)
            .put("endpoint", cluster.workerEndpoint.apply(vm.id).toString())
            .put("flavor", vm.machineType)
            .put("site", vm.zone)
            .put("loaners", vm.spot)
            .put("tenure", incarnation)
            .put("tick", ++sequenceNumber)
            .put("baton", fencingToken);
    if (preemptionNoticeS >= 0) {
      object.put("reclaim_in_s", preemptionNoticeS);
    }
    ArrayNode array = object.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode status =
          array
              .addObject()
              .put("piece", task.name)
              .put("try", task.attempt)
              .put("status", task.status);
      if (task.cause != null) {
        status.put("exit_cause", task.cause);
      }
    }
    return object;
  }

  /** Returns the body of the heartbeat that the worker would send now. */
  byte[] statusBytes() {
    return Json.write(status()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  @Override
  public void handle(
      String from, String method, String path, String body, SimulatedNetwork.Reply reply) {
    if (dead || isDown()) {
      return;
    }
    if (hung) {
      cluster.at(1_000_000, () -> handle(from, method, path, body, reply));
      return;
    }
    if (path.equals("/inspect")) {
      reply.send(200, Json.write(status()));
      return;
    }
    cluster.network.delegationChecker.onCommandsArrived(vm.id, body);
    try {
      ObjectNode object = Json.parseObject(body);
      if (object.path("baton").asLong() < fencingToken
          || object.path("tenure").asLong() != incarnation) {
        countRefusedCopy(object.path("orders"));
        reply.send(409, Json.write(status()));
        return;
      }
      if (object.path("baton").asLong() > fencingToken) {
        fencingToken = object.path("baton").asLong();
        requestHeartbeat();
      }
      execute(object.path("orders"));
      reply.send(200, Json.write(status()));
    } catch (InvalidMessageException e) {
      reply.send(400, "{}");
    }
  }
}
