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
import plumlever.wire.InvalidMessage;
import plumlever.wire.Json;

/**
 * What a node practises with: a state service, a cloud and machines that do as they are told, in
 * memory. It keeps to the forms of the protocol but to few of its rules, since one node alone uses
 * it and nothing depends on what comes of it.
 */
public final class PracticeOutside {
  /** Takes the answer to one request. */
  public interface Reply {
    void send(int status, String body);
  }

  private record Entry(JsonNode data, long stamp, long permit) {}

  private record Change(long stamp, String key, JsonNode data) {}

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

  private static final class Host {
    final String id;
    final String endpoint;
    final boolean large;
    final boolean spot;
    final String site;
    final Map<Long, Task> tasks = new LinkedHashMap<>();
    long tick;
    long baton;

    Host(int n, String endpoint) {
      this.id = String.format("i-%06d", n);
      this.endpoint = endpoint;
      this.large = n % 2 == 0;
      this.spot = n % 3 == 0;
      this.site = n % 4 < 2 ? "a" : "b";
    }
  }

  private final Loop loop;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private long epoch = 1;
  private long permits;

  /**
   * @param endpoint where the machines take direct calls; a place for the machine's number in it
   *     makes them differ
   */
  public PracticeOutside(Loop loop, int machines, String endpoint) {
    this.loop = loop;
    for (int i = 1; i <= machines; i++) {
      Host h = new Host(i, String.format(endpoint, i));
      hosts.put(h.id, h);
    }
  }

  public List<String> machines() {
    return List.copyOf(hosts.keySet());
  }

  /** Which machine takes direct calls there. */
  String machineAt(String endpoint) {
    return hosts.values().stream()
        .filter(h -> h.endpoint.equals(endpoint))
        .findFirst()
        .orElseThrow()
        .id;
  }

  /** Answers one request to the state service or the cloud. */
  public void handle(String method, String path, byte[] body, Reply reply) {
    try {
      if (path.equals("/txn")) {
        txn(Json.parseObject(body), reply);
      } else if (path.startsWith("/grants")) {
        reply.send(
            200,
            method.equals("POST") && path.equals("/grants")
                ? "{\"permit\":" + ++permits + "}"
                : "{}");
      } else if (path.startsWith("/keys/")) {
        Entry e = keys.get(path.substring(6));
        reply.send(
            e == null ? 404 : 200,
            e == null ? "{\"epoch\":" + epoch + "}" : Json.write(item(path.substring(6), e)));
      } else if (path.startsWith("/keys?")) {
        list(parameter(path, "under"), reply);
      } else if (path.startsWith("/follow?")) {
        follow(parameter(path, "under"), Long.parseLong(parameter(path, "since")), true, reply);
      } else if (path.equals("/catalog")) {
        reply.send(200, CATALOG);
      } else if (path.startsWith("/hosts?")) {
        reply.send(200, listed());
      } else if (path.equals("/hosts")) {
        reply.send(503, "{\"error\":\"no capacity\"}");
      } else {
        reply.send(200, "{}");
      }
    } catch (InvalidMessage e) {
      reply.send(400, "{}");
    }
  }

  private static String parameter(String path, String name) {
    int from = path.indexOf(name + "=") + name.length() + 1;
    int to = path.indexOf('&', from);
    return to < 0 ? path.substring(from) : path.substring(from, to);
  }

  private static ObjectNode item(String key, Entry e) {
    ObjectNode o = Json.object().put("k", key).put("stamp", e.stamp).put("permit", e.permit);
    o.set("data", e.data);
    return o;
  }

  private void txn(ObjectNode t, Reply reply) {
    for (JsonNode g : t.path("guards")) {
      Entry e = keys.get(g.path("k").asText());
      if ((e == null ? 0 : e.stamp) != g.path("stamp").asLong()) {
        reply.send(409, "{\"failed\":[" + Json.write(g.path("k")) + "],\"epoch\":" + epoch + "}");
        return;
      }
    }
    epoch++;
    for (JsonNode c : t.path("then")) {
      String key = c.hasNonNull("put") ? c.get("put").asText() : c.path("drop").asText();
      if (c.hasNonNull("put")) {
        keys.put(key, new Entry(c.path("data"), epoch, c.path("permit").asLong(0)));
        log.add(new Change(epoch, key, c.path("data")));
      } else if (keys.remove(key) != null) {
        log.add(new Change(epoch, key, null));
      }
    }
    reply.send(200, "{\"epoch\":" + epoch + "}");
  }

  private void list(String under, Reply reply) {
    ObjectNode out = Json.object().put("epoch", epoch).put("more", false);
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

  private void follow(String under, long since, boolean mayWait, Reply reply) {
    ObjectNode out = Json.object().put("epoch", epoch);
    ArrayNode a = out.putArray("log");
    for (Change c : log) {
      if (c.stamp > since && c.key.startsWith(under)) {
        ObjectNode n =
            a.addObject().put("stamp", c.stamp).put(c.data == null ? "drop" : "put", c.key);
        if (c.data != null) {
          n.set("data", c.data);
        }
      }
    }
    if (a.isEmpty() && mayWait) {
      loop.after(MOST_WAIT_MICROS, () -> follow(under, since, false, reply));
    } else {
      reply.send(200, Json.write(out));
    }
  }

  private String listed() {
    ObjectNode out = Json.object().put("more", false);
    ArrayNode a = out.putArray("hosts");
    hosts
        .values()
        .forEach(
            h ->
                a.addObject()
                    .put("uid", h.id)
                    .put("endpoint", h.endpoint)
                    .put("flavor", h.large ? "large" : "small")
                    .put("site", h.site)
                    .put("loaners", h.spot)
                    .put("status", "running")
                    .put("age_s", 100.0));
    return Json.write(out);
  }

  /** The machine's report as it stands now. */
  public byte[] report(String host) {
    Host h = hosts.get(host);
    long now = loop.nowMicros();
    ObjectNode o =
        Json.object()
            .put("host", h.id)
            .put("endpoint", h.endpoint)
            .put("flavor", h.large ? "large" : "small")
            .put("site", h.site)
            .put("loaners", h.spot)
            .put("tenure", 1)
            .put("tick", ++h.tick)
            .put("baton", h.baton)
            .putNull("reclaim_in_s");
    ArrayNode a = o.putArray("pieces");
    for (Task t : h.tasks.values()) {
      long age = now - t.sinceMicros;
      if (t.exit == null && age > FETCH_MICROS + RUN_MICROS) {
        t.exit = "done";
      }
      ObjectNode n =
          a.addObject()
              .put("piece", t.name)
              .put("try", t.attempt)
              .put("status", t.exit != null ? "ended" : age > FETCH_MICROS ? "running" : "pulling");
      if (t.exit != null) {
        n.put("exit_cause", t.exit);
      }
    }
    return Json.write(o).getBytes(java.nio.charset.StandardCharsets.UTF_8);
  }

  /** The machine carries out what an answer or a direct call says. */
  public void order(String host, String answer) {
    Host h = hosts.get(host);
    ObjectNode o;
    try {
      o = Json.parseObject(answer);
    } catch (InvalidMessage e) {
      throw new IllegalStateException("an answer that was just written can't be read", e);
    }
    h.baton = Math.max(h.baton, o.path("baton").asLong());
    for (JsonNode order : o.path("orders")) {
      long attempt = order.path("try").asLong();
      Task t = h.tasks.get(attempt);
      switch (order.path("verb").asText()) {
        case "run" ->
            h.tasks.putIfAbsent(
                attempt, new Task(order.path("piece").asText(), attempt, loop.nowMicros()));
        case "halt" -> {
          if (t != null && t.exit == null) {
            t.exit = "halted";
          }
        }
        default -> h.tasks.remove(attempt);
      }
    }
  }
}
