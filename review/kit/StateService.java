import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.*;

/**
 * A state service that follows the protocol page: compare-and-set transactions, leases, watches and
 * the limits that the settings state. All state is guarded by the monitor of this object.
 */
final class StateService {
  private record Entry(JsonNode data, long revision, long lease, String item) {}

  private record Change(long revision, String key, JsonNode data) {}

  private static final int MAX_HISTORY = 10_000;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, long[]> leases = new HashMap<>(); // id -> {ttl ms, end ms}
  private final ArrayDeque<Change> history = new ArrayDeque<>();
  private final Map<String, long[]> served = new TreeMap<>();
  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int operations;
  private double requestTokens;
  private double writeTokens;
  private long refilledMs = Kit.nowMs();
  private long epoch = 1;
  private long lastLease;
  private long forgottenRevision;
  private final int port;

  StateService(double rps, double writeRps, int valueBytes, int operations) throws Exception {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueBytes;
    this.operations = operations;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    this.port = Kit.serve(0, this::handle);
    Kit.every(50, this::expire);
  }

  int port() {
    return port;
  }

  /** Stores a key directly, as a write of earlier days; it is not part of the kept history. */
  synchronized void preload(String key, JsonNode data) {
    entries.put(key, entry(key, data, ++epoch, 0));
    forgottenRevision = epoch;
  }

  synchronized JsonNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.data();
  }

  synchronized int count(String prefix) {
    return entries.subMap(prefix, prefix + '\uffff').size();
  }

  synchronized String servedCounts() {
    StringBuilder text = new StringBuilder();
    served.forEach((k, v) -> text.append(k).append('=').append(v[0]).append(' '));
    return text.toString();
  }

  private void count(String kind, int status) {
    served.computeIfAbsent(kind + ":" + status, k -> new long[1])[0]++;
  }

  private void handle(HttpExchange exchange) throws Exception {
    String path = exchange.getRequestURI().getRawPath();
    Map<String, String> query = Kit.query(exchange);
    byte[] body = Kit.body(exchange);
    Reply reply;
    if (path.equals("/follow")) {
      reply = follow(query);
    } else {
      synchronized (this) {
        reply = admit(0) ? respond(exchange.getRequestMethod(), path, query, body) : new Reply(429, "{}");
      }
    }
    synchronized (this) {
      String kind = exchange.getRequestMethod() + " " + path.split("/")[1];
      if (query.containsKey("under")) {
        kind += " " + query.get("under").split("/")[0];
      }
      count(kind, reply.status());
    }
    Kit.reply(exchange, reply.status(), reply.body());
  }

  private record Reply(int status, String body) {}

  private boolean admit(int writes) {
    long now = Kit.nowMs();
    requestTokens = Math.min(rps, requestTokens + (now - refilledMs) * rps / 1000);
    writeTokens = Math.min(writeRps, writeTokens + (now - refilledMs) * writeRps / 1000);
    refilledMs = now;
    if (writes > 0) {
      if (writeTokens < writes) {
        return false;
      }
      writeTokens -= writes;
      return true;
    }
    if (requestTokens < 1) {
      return false;
    }
    requestTokens--;
    return true;
  }

  private Reply respond(String method, String path, Map<String, String> query, byte[] body)
      throws Exception {
    if (path.startsWith("/keys/")) {
      String key = path.substring("/keys/".length());
      Entry entry = entries.get(key);
      return entry == null
          ? new Reply(404, Kit.object().put("epoch", epoch).toString())
          : new Reply(200, entry.item());
    }
    if (path.equals("/keys")) {
      return list(query);
    }
    if (path.equals("/txn")) {
      return transact(Kit.parse(body));
    }
    if (path.startsWith("/grants")) {
      return grant(method, path, body);
    }
    return new Reply(404, "{}");
  }

  private static Entry entry(String key, JsonNode data, long revision, long lease) {
    ObjectNode item = Kit.object().put("k", key);
    item.set("data", data);
    item.put("stamp", revision);
    if (lease != 0) {
      item.put("permit", lease);
    }
    return new Entry(data, revision, lease, item.toString());
  }

  private Reply list(Map<String, String> query) {
    String prefix = query.getOrDefault("under", "");
    String since = query.get("since");
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
    StringBuilder items = new StringBuilder();
    boolean more = false;
    int listed = 0;
    for (Map.Entry<String, Entry> e :
        (since == null ? entries.tailMap(prefix, true) : entries.tailMap(since, false)).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      String item = e.getValue().item();
      if (listed == page || items.length() + item.length() > 512 * 1024 - 100) {
        more = true;
        break;
      }
      items.append(listed++ == 0 ? "" : ",").append(item);
    }
    return new Reply(200, "{\"items\":[" + items + "],\"more\":" + more + ",\"epoch\":" + epoch + "}");
  }

  private Reply transact(JsonNode txn) {
    JsonNode then = txn.path("then");
    if (then.size() > operations || txn.path("guards").size() > 4 * operations || txn.toString().length() > 65536) {
      return new Reply(400, "{\"error\":\"too large\"}");
    }
    for (JsonNode op : then) {
      if (op.hasNonNull("put") && op.path("data").toString().length() > valueBytes) {
        return new Reply(400, "{\"error\":\"value too large\"}");
      }
      if (op.hasNonNull("permit") && !leases.containsKey(op.get("permit").asLong())) {
        return new Reply(400, "{\"error\":\"no such lease\"}");
      }
    }
    if (then.size() > 0 && !admit(then.size())) {
      return new Reply(429, "{}");
    }
    ObjectNode conflict = Kit.object();
    ArrayNode failed = conflict.putArray("failed");
    for (JsonNode guard : txn.path("guards")) {
      Entry entry = entries.get(guard.path("k").asText());
      if ((entry == null ? 0 : entry.revision()) != guard.path("stamp").asLong()) {
        failed.add(guard.path("k").asText());
      }
    }
    if (!failed.isEmpty()) {
      return new Reply(409, conflict.put("epoch", epoch).toString());
    }
    if (then.size() > 0) {
      epoch++;
      for (JsonNode op : then) {
        if (op.hasNonNull("put")) {
          String key = op.get("put").asText();
          entries.put(key, entry(key, op.path("data"), epoch, op.path("permit").asLong(0)));
          remember(key, op.path("data"));
        } else {
          drop(op.path("drop").asText());
        }
      }
      notifyAll();
    }
    return new Reply(200, Kit.object().put("epoch", epoch).toString());
  }

  private void drop(String key) {
    if (entries.remove(key) != null) {
      remember(key, null);
    }
  }

  private void remember(String key, JsonNode data) {
    history.add(new Change(epoch, key, data));
    if (history.size() > MAX_HISTORY) {
      forgottenRevision = history.poll().revision();
    }
  }

  private Reply grant(String method, String path, byte[] body) throws Exception {
    if (path.equals("/grants")) {
      long ttl = Kit.parse(body).path("ttl_ms").asLong();
      leases.put(++lastLease, new long[] {ttl, Kit.nowMs() + ttl});
      return new Reply(200, Kit.object().put("permit", lastLease).toString());
    }
    long id = Long.parseLong(path.split("/")[2]);
    long[] lease = leases.get(id);
    if (lease == null) {
      return new Reply(404, "{}");
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      lease[1] = Kit.nowMs() + lease[0];
    }
    return new Reply(200, "{}");
  }

  private void end(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach((k, e) -> {
      if (e.lease() == id) {
        keys.add(k);
      }
    });
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(this::drop);
      notifyAll();
    }
  }

  private synchronized void expire() {
    long now = Kit.nowMs();
    for (Map.Entry<Long, long[]> e : List.copyOf(leases.entrySet())) {
      if (e.getValue()[1] <= now) {
        end(e.getKey());
      }
    }
  }

  private synchronized Reply follow(Map<String, String> query) throws Exception {
    if (!admit(0)) {
      return new Reply(429, "{}");
    }
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    String prefix = query.getOrDefault("under", "");
    long until = Kit.nowMs() + Math.min(60_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    while (true) {
      if (since < forgottenRevision) {
        return new Reply(410, "{}");
      }
      ObjectNode reply = Kit.object().put("epoch", epoch);
      ArrayNode log = reply.putArray("log");
      for (Change change : history) {
        if (change.revision() > since && change.key().startsWith(prefix)) {
          ObjectNode node = log.addObject();
          if (change.data() == null) {
            node.put("drop", change.key());
          } else {
            node.put("put", change.key()).set("data", change.data());
          }
          node.put("stamp", change.revision());
        }
      }
      long left = until - Kit.nowMs();
      if (!log.isEmpty() || left <= 0) {
        return new Reply(200, reply.toString());
      }
      wait(left);
    }
  }
}
