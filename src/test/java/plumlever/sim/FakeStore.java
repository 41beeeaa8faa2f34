package plumlever.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import plumlever.wire.InvalidMessage;
import plumlever.wire.Json;

/** The state service, by its protocol. */
final class FakeStore implements World.Service {
  private record Entry(JsonNode data, long stamp, long permit) {}

  private record Change(long stamp, String key, JsonNode data) {}

  private final World world;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final Map<Long, Long> grantEnds = new HashMap<>();
  private final Map<Long, Long> grantTtl = new HashMap<>();
  private final List<Change> log = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private long epoch = 10;
  private long permits;
  boolean outage;
  final Set<String> refused = new HashSet<>();

  /** Nodes whose watches are never answered, while everything else is. */
  final Set<String> unwatched = new HashSet<>();

  /** What it takes: beyond it a transaction is malformed. */
  int valueBytes = Integer.MAX_VALUE;

  int txnOps = 8;
  int malformed;
  int requestsSeen;

  /** For tests of the checks: a prefix of which watches tell nothing. */
  String untold;

  /** For tests of the checks: a field that records of jobs lose. */
  String lostField;

  /** Changes remembered for watches; an older one is told to read anew. */
  int remembered = 10_000;

  /** The next transaction that puts a key under this prefix is carried out and gets no answer. */
  String unheardOnce;

  /**
   * Shares of transactions with changes that get no answer: carried out seconds later, or at once.
   */
  double lateWrites;

  double unheardWrites;

  /**
   * How many were carried out after a newer one of the same node, and how many at once without an
   * answer.
   */
  int carriedOutAfterNewer;

  int carriedOutUnheard;

  /** Time that each answer takes longer. */
  long slowMicros;

  private final Map<String, Long> newestOf = new HashMap<>();
  private long sent;

  /** Listings under this prefix are not answered. */
  String slowPrefix;

  /** How often each node was answered 503. */
  final Map<String, Integer> refusals = new HashMap<>();

  /** For tests of the checks: transactions whose guards are not looked at. */
  boolean ignoreGuards;

  /** For tests of the checks: a prefix under which listings find nothing. */
  String hidden;

  FakeStore(World world) {
    this.world = world;
    world.at(50_000, this::expire);
  }

  void endOutage() {
    outage = false;
    // Every lease has its full time again.
    grantTtl.forEach((p, ttl) -> grantEnds.computeIfPresent(p, (k, end) -> world.now() + ttl));
  }

  private void expire() {
    if (!outage) {
      for (Long p : new ArrayList<>(grantEnds.keySet())) {
        if (grantEnds.get(p) <= world.now()) {
          end(p);
        }
      }
    }
    world.at(50_000, this::expire);
  }

  private void end(long permit) {
    grantEnds.remove(permit);
    grantTtl.remove(permit);
    List<String> gone = new ArrayList<>();
    keys.forEach(
        (k, e) -> {
          if (e.permit == permit) {
            gone.add(k);
          }
        });
    if (!gone.isEmpty()) {
      epoch++;
      gone.forEach(
          k -> {
            keys.remove(k);
            log.add(new Change(epoch, k, null));
          });
      wake();
    }
  }

  private void wake() {
    List<Runnable> w = new ArrayList<>(waiting);
    waiting.clear();
    w.forEach(r -> world.at(0, r));
  }

  /** Requests, and puts and drops, in the busiest second so far. */
  int mostRequests;

  int mostChanges;
  int largestValue;
  private long second;
  private int requests;
  private int changes;

  private void tally(int puts) {
    if (world.now() / 1_000_000 != second) {
      second = world.now() / 1_000_000;
      requests = 0;
      changes = 0;
    }
    requests += puts == 0 ? 1 : 0;
    changes += puts;
    mostRequests = Math.max(mostRequests, requests);
    mostChanges = Math.max(mostChanges, changes);
  }

  /** Replaces a value behind everybody's back; its stamp stays. */
  void forge(String prefix, JsonNode data) {
    keys.replaceAll((k, e) -> k.startsWith(prefix) ? new Entry(data, e.stamp, e.permit) : e);
  }

  /** When the last leader was elected. */
  long termSince;

  /** The term of the last leader elected. */
  long term() {
    Entry e = keys.get("office/term");
    return e == null ? 0 : e.data.path("term").asLong();
  }

  /** Every key under the prefix with its value. */
  Map<String, JsonNode> entries(String prefix) {
    Map<String, JsonNode> out = new java.util.LinkedHashMap<>();
    keys.forEach(
        (k, e) -> {
          if (k.startsWith(prefix)) {
            out.put(k, e.data);
          }
        });
    return out;
  }

  /** Replaces all keys under the prefix, as one who writes them would. */
  void rewrite(String prefix, Map<String, JsonNode> values) {
    epoch++;
    for (String k : entries(prefix).keySet()) {
      keys.remove(k);
      log.add(new Change(epoch, k, null));
    }
    values.forEach(
        (k, v) -> {
          keys.put(k, new Entry(v, epoch, 0));
          log.add(new Change(epoch, k, v));
        });
    wake();
  }

  List<JsonNode> values(String prefix) {
    return keys.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .map(e -> e.getValue().data)
        .toList();
  }

  int count(String prefix) {
    return (int) keys.keySet().stream().filter(k -> k.startsWith(prefix)).count();
  }

  @Override
  public void handle(String from, String method, String path, String body, World.Reply reply) {
    tally(0);
    requestsSeen++;
    if (unwatched.contains(from) && path.startsWith("/follow?")) {
      return;
    }
    if (slowPrefix != null && path.startsWith("/keys?under=" + slowPrefix)) {
      return;
    }
    if (outage || refused.contains(from)) {
      refusals.merge(from, 1, Integer::sum);
      reply.send(503, "{\"error\":\"trouble\"}");
      return;
    }
    World.Reply prompt = reply;
    reply =
        slowMicros == 0
            ? prompt
            : (status, text) -> world.at(slowMicros, () -> prompt.send(status, text));
    try {
      if (path.equals("/txn")) {
        write(from, Json.parseObject(body), reply);
      } else if (path.equals("/grants")) {
        long ttl = Json.parseObject(body).path("ttl_ms").asLong() * 1_000;
        grantEnds.put(++permits, world.now() + ttl);
        grantTtl.put(permits, ttl);
        reply.send(200, "{\"permit\":" + permits + "}");
      } else if (path.startsWith("/grants/")) {
        String[] parts = path.split("/");
        long p = Long.parseLong(parts[2]);
        if (!grantEnds.containsKey(p)) {
          reply.send(404, "{}");
        } else if (method.equals("DELETE")) {
          end(p);
          reply.send(200, "{}");
        } else {
          grantEnds.put(p, world.now() + grantTtl.get(p));
          reply.send(200, "{}");
        }
      } else if (path.startsWith("/keys/")) {
        String k = path.substring(6);
        Entry e = keys.get(k);
        if (e == null) {
          reply.send(404, "{\"epoch\":" + epoch + "}");
        } else {
          reply.send(200, Json.write(item(k, e)));
        }
      } else if (path.startsWith("/keys?")) {
        list(query(path), reply);
      } else if (path.startsWith("/follow?")) {
        follow(query(path), world.now(), reply);
      } else {
        reply.send(404, "{}");
      }
    } catch (InvalidMessage e) {
      reply.send(400, "{}");
    }
  }

  private static ObjectNode item(String k, Entry e) {
    ObjectNode o = Json.object().put("k", k).put("stamp", e.stamp).put("permit", e.permit);
    o.set("data", e.data);
    return o;
  }

  private static Map<String, String> query(String path) {
    Map<String, String> q = new HashMap<>();
    for (String p : path.substring(path.indexOf('?') + 1).split("&")) {
      int eq = p.indexOf('=');
      q.put(p.substring(0, eq), p.substring(eq + 1));
    }
    return q;
  }

  private void list(Map<String, String> q, World.Reply reply) {
    String under = q.get("under");
    ObjectNode out = Json.object().put("epoch", epoch);
    ArrayNode items = out.putArray("items");
    int page = Integer.parseInt(q.getOrDefault("page", "100"));
    boolean more = false;
    if (!under.equals(hidden)) {
      for (Map.Entry<String, Entry> e :
          keys.tailMap(q.getOrDefault("since", under), !q.containsKey("since")).entrySet()) {
        if (!e.getKey().startsWith(under)) {
          break;
        }
        if (items.size() == page) {
          more = true;
          break;
        }
        items.add(item(e.getKey(), e.getValue()));
      }
    }
    out.put("more", more);
    reply.send(200, Json.write(out));
  }

  private void follow(Map<String, String> q, long since, World.Reply reply) {
    String under = q.get("under");
    long from = Long.parseLong(q.get("since"));
    ObjectNode out = Json.object().put("epoch", epoch);
    ArrayNode a = out.putArray("log");
    if (log.size() > remembered && log.get(log.size() - remembered).stamp > from) {
      reply.send(410, "{}");
      return;
    }
    for (Change c : log) {
      if (under.equals(untold)) {
        break;
      }
      if (c.stamp > from && c.key.startsWith(under)) {
        ObjectNode n = a.addObject().put("stamp", c.stamp);
        if (c.data == null) {
          n.put("drop", c.key);
        } else {
          n.put("put", c.key).set("data", c.data);
        }
      }
    }
    long wait = Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000;
    if (!a.isEmpty() || world.now() >= since + wait) {
      reply.send(200, Json.write(out));
      return;
    }
    boolean[] woken = new boolean[1];
    Runnable again =
        () -> {
          if (!woken[0]) {
            woken[0] = true;
            follow(q, since, reply);
          }
        };
    waiting.add(again);
    world.at(since + wait - world.now(), again);
  }

  /** A transaction may go unanswered, and be carried out at once or after newer ones. */
  private void write(String from, ObjectNode t, World.Reply reply) {
    long number = ++sent;
    boolean changes = !t.path("then").isEmpty();
    if (unheardOnce != null && Json.write(t).contains("\"put\":\"" + unheardOnce)) {
      unheardOnce = null;
      carriedOutUnheard++;
      txn(t, (status, text) -> {});
    } else if (changes && world.random.nextDouble() < unheardWrites) {
      carriedOutUnheard++;
      txn(t, (status, text) -> {});
    } else if (changes && world.random.nextDouble() < lateWrites) {
      world.at(
          2_000_000 + world.random.nextLong(10_000_000),
          () -> {
            if (!outage && newestOf.getOrDefault(from, 0L) > number) {
              carriedOutAfterNewer++;
              txn(t, (status, text) -> {});
            }
          });
    } else {
      if (changes) {
        newestOf.put(from, number);
      }
      txn(t, reply);
    }
  }

  private void txn(ObjectNode t, World.Reply reply) {
    for (JsonNode g : t.path("guards")) {
      Entry e = keys.get(g.path("k").asText());
      if (!ignoreGuards && (e == null ? 0 : e.stamp) != g.path("stamp").asLong()) {
        reply.send(409, "{\"failed\":[],\"epoch\":" + epoch + "}");
        return;
      }
    }
    for (JsonNode c : t.path("then")) {
      if (c.hasNonNull("permit") && !grantEnds.containsKey(c.get("permit").asLong())) {
        reply.send(400, "{\"error\":\"no such lease\"}");
        return;
      }
    }
    if (!t.path("then").isEmpty()) {
      tally(t.path("then").size());
    }
    boolean tooLarge = false;
    for (JsonNode c : t.path("then")) {
      tooLarge |= Json.write(c.path("data")).length() > valueBytes;
    }
    if (t.path("then").size() > txnOps
        || t.path("guards").size() > 4 * txnOps
        || tooLarge
        || Json.write(t).length() > 65_536) {
      malformed++;
      reply.send(400, "{\"error\":\"too many\"}");
      return;
    }
    epoch++;
    for (JsonNode c : t.path("then")) {
      if (c.hasNonNull("put")) {
        largestValue = Math.max(largestValue, Json.write(c.path("data")).length());
        if (c.get("put").asText().equals("office/term")) {
          termSince = world.now();
          world.newTerm();
        }
        if (lostField != null && c.path("data").path("job") instanceof ObjectNode job) {
          job.remove(lostField);
        }
        keys.put(
            c.get("put").asText(), new Entry(c.path("data"), epoch, c.path("permit").asLong(0)));
        log.add(new Change(epoch, c.get("put").asText(), c.path("data")));
      } else if (keys.remove(c.path("drop").asText()) != null) {
        log.add(new Change(epoch, c.get("drop").asText(), null));
      }
    }
    reply.send(200, "{\"epoch\":" + epoch + "}");
    wake();
  }
}
