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

    boolean on() {
      return status.equals("running") || status.equals("flushing");
    }
  }

  private final SimulatedCluster cluster;
  final FakeCloud.Vm vm;
  final Map<Long, Task> tasks = new LinkedHashMap<>();
  private final Set<Long> removed = new HashSet<>();
  private long incarnation = 1;
  private long sequenceNumber;
  private long fencingToken;
  private long leaseFrom;
  private String at;
  private boolean inFlight;
  private boolean due;
  private long lastSent;
  private long nextTimer;
  private double notice = -1;
  private boolean dead;
  boolean hung;

  FakeWorker(SimulatedCluster cluster, FakeCloud.Vm vm) {
    this.cluster = cluster;
    this.vm = vm;
    this.leaseFrom = cluster.now();
    this.at = "n" + cluster.random.nextInt(cluster.controllers.size());
    cluster.network.services.put(cluster.workerAt.apply(vm.id), this);
    cluster.at(0, this::heartbeat);
    cluster.at(200_000, this::lease);
  }

  void die() {
    dead = true;
    tasks.values().forEach(t -> cluster.invariants.taskLeft(t.name, this));
    tasks.clear();
    cluster.network.services.remove(cluster.workerAt.apply(vm.id));
  }

  boolean heartbeatsTo(String controller) {
    return !dead && at.equals(controller);
  }

  /** Makes one running task save its progress for some seconds and then continue. */
  void saveOne(double seconds) {
    tasks.values().stream()
        .filter(task -> task.status.equals("running"))
        .findFirst()
        .ifPresent(
            task -> {
              task.status = "flushing";
              change();
              cluster.at(
                  (long) (seconds * 1e6),
                  () -> {
                    if (task.status.equals("flushing")) {
                      task.status = "running";
                      change();
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
              exit(task, cause);
            });
  }

  void notice(double seconds) {
    notice = seconds;
    change();
  }

  private void lease() {
    if (dead) {
      return;
    }
    // A worker ends its tasks when its lease expires. A hung worker does so too: it may continue
    // only within its lease.
    if (cluster.now() - leaseFrom > LEASE_MICROS) {
      tasks.values().forEach(t -> cluster.invariants.taskLeft(t.name, this));
      tasks.clear();
      incarnation++;
      leaseFrom = cluster.now();
    }
    cluster.at(200_000, this::lease);
  }

  private void change() {
    if (inFlight) {
      due = true;
    } else {
      schedule(Math.max(10_000, lastSent + 500_000 - cluster.now()));
    }
  }

  private void schedule(long delay) {
    long when = cluster.now() + delay;
    if (nextTimer > cluster.now() && nextTimer <= when) {
      return;
    }
    nextTimer = when;
    cluster.at(
        delay,
        () -> {
          if (nextTimer == when) {
            heartbeat();
          }
        });
  }

  private void heartbeat() {
    if (dead || inFlight) {
      return;
    }
    if (hung) {
      schedule(500_000);
      return;
    }
    inFlight = true;
    due = false;
    lastSent = cluster.now();
    long sent = lastSent;
    long sentIncarnation = incarnation;
    String controller = at;
    cluster.network.send(
        vm.id,
        new Endpoint(controller, 1),
        "POST",
        "/hello",
        Json.write(status()),
        4_000_000,
        a -> {
          inFlight = false;
          if (dead) {
            return;
          }
          int code = a.status();
          if (code == 200) {
            answered(a.body(), sent, sentIncarnation, controller);
            schedule(due ? 500_000 : 2_250_000 + cluster.random.nextLong(1_500_000));
            return;
          }
          String foreman = null;
          if (code == 421) {
            try {
              foreman = Json.parseObject(a.body()).path("foreman").asText(null);
            } catch (InvalidMessageException e) {
              foreman = null;
            }
          }
          if (foreman != null
              && !foreman.equals(controller)
              && cluster.controllers.containsKey(foreman)) {
            at = foreman;
            schedule(cluster.random.nextInt(500_000));
          } else {
            List<String> all = new ArrayList<>(cluster.controllers.keySet());
            at = all.get((all.indexOf(controller) + 1) % all.size());
            schedule(1_000_000);
          }
        });
  }

  private void answered(String body, long sent, long sentIncarnation, String by) {
    try {
      ObjectNode object = Json.parseObject(body);
      long token = object.path("baton").asLong();
      if (sentIncarnation != incarnation || token < fencingToken) {
        return;
      }
      if (token > fencingToken) {
        fencingToken = token;
        due = true;
      }
      leaseFrom = Math.max(leaseFrom, sent);
      SimulatedController controller = cluster.controllers.get(by);
      if (controller != null && !controller.leads()) {
        cluster.network.delegations.renewedForLeader(vm.id, incarnation, token);
      }
      execute(object.path("orders"));
    } catch (InvalidMessageException e) {
      throw new AssertionError("invalid heartbeat answer of a controller: " + body);
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
            run(name, attempt);
          }
        }
        case "halt" -> {
          if (task != null && !task.status.equals("ended")) {
            exit(task, "halted");
          }
        }
        case "reap" -> {
          if (task != null && task.status.equals("ended")) {
            tasks.remove(attempt);
            removed.add(attempt);
            due = true;
          }
        }
        default ->
            throw new AssertionError("unknown command in an answer or direct call: " + command);
      }
    }
  }

  private void run(String name, long attempt) {
    if (removed.contains(attempt)) {
      // The protocol allows a start command for an attempt that was removed, but a start command
      // that arrives so late can break one of the protocol's rules.
      cluster.invariants.broken.add("restarted after the attempt was removed: " + name);
    }
    cluster.invariants.commandedToStart(name, this);
    Task task = new Task(name, attempt);
    tasks.put(attempt, task);
    due = true;
    for (Task other : tasks.values()) {
      if (other != task && other.name.equals(name) && !other.status.equals("ended")) {
        task.status = "ended";
        task.cause = "in_use";
        return;
      }
    }
    cluster.at(300_000 + cluster.random.nextInt(2_000_000), () -> begin(task));
  }

  private void begin(Task task) {
    if (dead || tasks.get(task.attempt) != task || !task.status.equals("pulling")) {
      return;
    }
    if (hung) {
      cluster.at(500_000, () -> begin(task));
      return;
    }
    task.status = "running";
    cluster.invariants.started(task.name, this);
    change();
    finishIn(
        task,
        cluster.invariants.completed(task.name) ? 0 : cluster.invariants.runMicros(task.name));
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
          exit(task, "done");
        });
  }

  private void exit(Task task, String cause) {
    task.status = "ended";
    task.cause = cause;
    cluster.invariants.taskLeft(task.name, this);
    change();
  }

  private ObjectNode status() {
    ObjectNode object =
        Json.object()
            .put("host", vm.id)
            .put("endpoint", cluster.workerAt.apply(vm.id).toString())
            .put("flavor", vm.machineType)
            .put("site", vm.zone)
            .put("loaners", vm.spot)
            .put("tenure", incarnation)
            .put("tick", ++sequenceNumber)
            .put("baton", fencingToken);
    if (notice >= 0) {
      object.put("reclaim_in_s", notice);
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

  /** Returns the heartbeat that the worker would send now. */
  byte[] statusBytes() {
    return Json.write(status()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  @Override
  public void handle(
      String from, String method, String path, String body, SimulatedNetwork.Reply reply) {
    if (dead) {
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
    cluster.network.delegations.arrived(vm.id, body);
    try {
      ObjectNode object = Json.parseObject(body);
      if (object.path("baton").asLong() < fencingToken
          || object.path("tenure").asLong() != incarnation) {
        reply.send(409, Json.write(status()));
        return;
      }
      if (object.path("baton").asLong() > fencingToken) {
        fencingToken = object.path("baton").asLong();
        change();
      }
      execute(object.path("orders"));
      reply.send(200, Json.write(status()));
    } catch (InvalidMessageException e) {
      reply.send(400, "{}");
    }
  }
}
