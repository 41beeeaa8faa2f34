package plumlever.warmup;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import plumlever.concurrent.Loop;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * What a controller practises with: a state service, a cloud and machines that do as they are told,
 * in memory. It keeps to the forms of the protocol but to few of its rules, since one controller
 * alone uses it and nothing depends on what comes of it.
 */
public final class WarmUpServices {
  /** Takes the answer to one request. */
  public interface Reply {
    void send(int status, String body);
  }

  private record Entry(JsonNode data, long revision, long leaseId) {}

  private record Change(long revision, String key, JsonNode data) {}

  private static final long MOST_WAIT_MICROS = 300_000;
  private static final long FETCH_MICROS = 800_000;
  private static final long RUN_MICROS = 4_000_000;
  private static final String CATALOG =
      """
      {"flavors":[
      {"sku":"small","cores":4,"accelerators":0,"memory_gb":16,"cache_gb":8,"fetch_gb_per_s":1.0,"hourly":0.2,"low_price":0.06,"startup_s":12,"sites":["a","b"]},
      {"sku":"large","cores":16,"accelerators":0,"memory_gb":64,"cache_gb":8,"fetch_gb_per_s":0.5,"hourly":0.9,"low_price":0.3,"startup_s":8,"sites":["a","b"]}]}
      """;

  private static final class Task {
    final String name;
    final long attempt;
    final long sinceMicros;
    String exit;

    Task(String name, long attempt, long sinceMicros) {
      this.name = name;
      this.attempt = attempt;
      this.sinceMicros = sinceMicros;
    }
  }

  private static final class EmulatedMachine {
    final String id;
    final String endpoint;
    final boolean large;
    final boolean spot;
    final String zone;
    final Map<Long, Task> tasks = new LinkedHashMap<>();
    long sequenceNumber;
    long fencingToken;

    EmulatedMachine(int number, String endpoint) {
      this.id = String.format("i-%06d", number);
      this.endpoint = endpoint;
      this.large = number % 2 == 0;
      this.spot = number % 3 == 0;
      this.zone = number % 4 < 2 ? "a" : "b";
    }
  }

  private final Loop loop;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Map<String, EmulatedMachine> machinesById = new LinkedHashMap<>();
  private long storeRevision = 1;
  private long leaseIds;

  /**
   * @param endpoint where the machines take direct calls; a place for the machine's number in it
   *     makes them differ
   */
  public WarmUpServices(Loop loop, int machines, String endpoint) {
    this.loop = loop;
    for (int i = 1; i <= machines; i++) {
      EmulatedMachine machine = new EmulatedMachine(i, String.format(endpoint, i));
      machinesById.put(machine.id, machine);
    }
  }

  public List<String> machines() {
    return List.copyOf(machinesById.keySet());
  }

  /** Which machine takes direct calls there. */
  String machineAt(String endpoint) {
    return machinesById.values().stream()
        .filter(h -> h.endpoint.equals(endpoint))
        .findFirst()
        .orElseThrow()
        .id;
  }

  /** Answers one request to the state service or the cloud. */
  public void handle(String method, String path, byte[] body, Reply reply) {
    try {
      if (path.equals("/txn")) {
        transaction(Json.parseObject(body), reply);
      } else if (path.startsWith("/grants")) {
        reply.send(
            200,
            method.equals("POST") && path.equals("/grants")
                ? "{\"permit\":" + ++leaseIds + "}"
                : "{}");
      } else if (path.startsWith("/keys/")) {
        Entry entry = keys.get(path.substring(6));
        reply.send(
            entry == null ? 404 : 200,
            entry == null
                ? "{\"epoch\":" + storeRevision + "}"
                : Json.write(item(path.substring(6), entry)));
      } else if (path.startsWith("/keys?")) {
        list(parameter(path, "under"), reply);
      } else if (path.startsWith("/follow?")) {
        watch(parameter(path, "under"), Long.parseLong(parameter(path, "since")), true, reply);
      } else if (path.equals("/catalog")) {
        reply.send(200, CATALOG);
      } else if (path.startsWith("/hosts?")) {
        reply.send(200, listed());
      } else if (path.equals("/hosts")) {
        reply.send(503, "{\"error\":\"no capacity\"}");
      } else {
        reply.send(200, "{}");
      }
    } catch (InvalidMessageException e) {
      reply.send(400, "{}");
    }
  }

  private static String parameter(String path, String name) {
    int from = path.indexOf(name + "=") + name.length() + 1;
    int to = path.indexOf('&', from);
    return to < 0 ? path.substring(from) : path.substring(from, to);
  }

  private static ObjectNode item(String key, Entry entry) {
    ObjectNode object =
        Json.object().put("k", key).put("stamp", entry.revision).put("permit", entry.leaseId);
    object.set("data", entry.data);
    return object;
  }

  private void transaction(ObjectNode object, Reply reply) {
    for (JsonNode node : object.path("guards")) {
      Entry entry = keys.get(node.path("k").asText());
      if ((entry == null ? 0 : entry.revision) != node.path("stamp").asLong()) {
        reply.send(
            409,
            "{\"failed\":[" + Json.write(node.path("k")) + "],\"epoch\":" + storeRevision + "}");
        return;
      }
    }
    storeRevision++;
    for (JsonNode change : object.path("then")) {
      String key =
          change.hasNonNull("put") ? change.get("put").asText() : change.path("drop").asText();
      if (change.hasNonNull("put")) {
        keys.put(
            key, new Entry(change.path("data"), storeRevision, change.path("permit").asLong(0)));
        log.add(new Change(storeRevision, key, change.path("data")));
      } else if (keys.remove(key) != null) {
        log.add(new Change(storeRevision, key, null));
      }
    }
    reply.send(200, "{\"epoch\":" + storeRevision + "}");
  }

  private void list(String under, Reply reply) {
    ObjectNode out = Json.object().put("epoch", storeRevision).put("more", false);
    ArrayNode items = out.putArray("items");
    keys.tailMap(under, true)
        .forEach(
            (k, e) -> {
              if (k.startsWith(under)) {
                items.add(item(k, e));
              }
            });
    reply.send(200, Json.write(out));
  }

  private void watch(String under, long since, boolean mayWait, Reply reply) {
    ObjectNode out = Json.object().put("epoch", storeRevision);
    ArrayNode array = out.putArray("log");
    for (Change change : log) {
      if (change.revision > since && change.key.startsWith(under)) {
        ObjectNode answer =
            array
                .addObject()
                .put("stamp", change.revision)
                .put(change.data == null ? "drop" : "put", change.key);
        if (change.data != null) {
          answer.set("data", change.data);
        }
      }
    }
    if (array.isEmpty() && mayWait) {
      loop.after(MOST_WAIT_MICROS, () -> watch(under, since, false, reply));
    } else {
      reply.send(200, Json.write(out));
    }
  }

  private String listed() {
    ObjectNode out = Json.object().put("more", false);
    ArrayNode array = out.putArray("hosts");
    machinesById
        .values()
        .forEach(
            h ->
                array
                    .addObject()
                    .put("uid", h.id)
                    .put("endpoint", h.endpoint)
                    .put("flavor", h.large ? "large" : "small")
                    .put("site", h.zone)
                    .put("loaners", h.spot)
                    .put("status", "running")
                    .put("age_s", 100.0));
    return Json.write(out);
  }

  /** The machine's heartbeat as it stands now. */
  public byte[] heartbeat(String machine) {
    EmulatedMachine otherMachine = machinesById.get(machine);
    long now = loop.nowMicros();
    ObjectNode object =
        Json.object()
            .put("host", otherMachine.id)
            .put("endpoint", otherMachine.endpoint)
            .put("flavor", otherMachine.large ? "large" : "small")
            .put("site", otherMachine.zone)
            .put("loaners", otherMachine.spot)
            .put("tenure", 1)
            .put("tick", ++otherMachine.sequenceNumber)
            .put("baton", otherMachine.fencingToken)
            .putNull("reclaim_in_s");
    ArrayNode array = object.putArray("pieces");
    for (Task task : otherMachine.tasks.values()) {
      long age = now - task.sinceMicros;
      if (task.exit == null && age > FETCH_MICROS + RUN_MICROS) {
        task.exit = "done";
      }
      ObjectNode answer =
          array
              .addObject()
              .put("piece", task.name)
              .put("try", task.attempt)
              .put(
                  "status",
                  task.exit != null ? "ended" : age > FETCH_MICROS ? "running" : "pulling");
      if (task.exit != null) {
        answer.put("exit_cause", task.exit);
      }
    }
    return Json.write(object).getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  /** The machine carries out what an answer or a direct call says. */
  public void command(String machine, String answer) {
    EmulatedMachine otherMachine = machinesById.get(machine);
    ObjectNode object;
    try {
      object = Json.parseObject(answer);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException("an answer that was just written can't be read", e);
    }
    otherMachine.fencingToken = Math.max(otherMachine.fencingToken, object.path("baton").asLong());
    for (JsonNode command : object.path("orders")) {
      long attempt = command.path("try").asLong();
      Task task = otherMachine.tasks.get(attempt);
      switch (command.path("verb").asText()) {
        case "run" ->
            otherMachine.tasks.putIfAbsent(
                attempt, new Task(command.path("piece").asText(), attempt, loop.nowMicros()));
        case "halt" -> {
          if (task != null && task.exit == null) {
            task.exit = "halted";
          }
        }
        default -> otherMachine.tasks.remove(attempt);
      }
    }
  }
}
