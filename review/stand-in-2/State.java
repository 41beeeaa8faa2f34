import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL-plumlever.md, with the limits of the settings. */
final class State implements Net.Handler {
  private static final int HISTORY = 10_000;

  private record Entry(JsonNode data, long stamp, long permit) {}

  private record Change(long stamp, String key, JsonNode data, long permit) {}

  private record Lease(long ttlMs, double endsAt) {}

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private long epoch = 1;
  private long lastPermit;
  private double requestsLeft;
  private double writesLeft;
  private double refilledAt;
  private volatile boolean outage;
  long refusedAsMalformed;

  State(double rps, double writeRps, int valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueKb * 1024;
    this.txnOps = txnOps;
    requestsLeft = rps;
    writesLeft = writeRps;
    Net.run(this::expire);
  }

  synchronized void setOutage(boolean on) {
    outage = on;
    if (!on) {
      leases.replaceAll((id, lease) -> new Lease(lease.ttlMs, Net.now() + lease.ttlMs / 1e3));
    }
    notifyAll();
  }

  synchronized String leader() {
    Entry entry = entries.get("office/leader");
    return entry == null ? "" : entry.data.path("label").asText();
  }

  synchronized JsonNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.data;
  }

  @Override
  public Net.Answer handle(String method, String path, Map<String, String> query, byte[] body) {
    if (path.equals("/follow")) {
      return follow(query);
    }
    synchronized (this) {
      if (outage) {
        return new Net.Answer(503, "{}");
      }
      if (!take(1, 0)) {
        return new Net.Answer(429, "{}");
      }
      if (path.equals("/txn")) {
        return transaction(body);
      } else if (path.startsWith("/grants")) {
        return grants(method, path, body);
      } else if (path.startsWith("/keys/")) {
        return get(path.substring("/keys/".length()));
      }
      return list(query);
    }
  }

  private boolean take(int requests, int writes) {
    double now = Net.now();
    requestsLeft = Math.min(rps, requestsLeft + (now - refilledAt) * rps);
    writesLeft = Math.min(writeRps, writesLeft + (now - refilledAt) * writeRps);
    refilledAt = now;
    if (requestsLeft < requests || writesLeft < writes) {
      return false;
    }
    requestsLeft -= requests;
    writesLeft -= writes;
    return true;
  }

  private static ObjectNode item(String key, Entry entry) {
    ObjectNode item = Net.object().put("k", key).put("stamp", entry.stamp);
    item.set("data", entry.data);
    if (entry.permit > 0) {
      item.put("permit", entry.permit);
    }
    return item;
  }

  private Net.Answer get(String key) {
    Entry entry = entries.get(key);
    return entry == null
        ? Net.answer(404, Net.object().put("epoch", epoch))
        : Net.answer(200, item(key, entry));
  }

  private Net.Answer list(Map<String, String> query) {
    String under = query.getOrDefault("under", "");
    String since = query.getOrDefault("since", "");
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
    ArrayNode items = Net.array();
    boolean more = false;
    int bytes = 0;
    String from = since.compareTo(under) > 0 ? since : under;
    for (Map.Entry<String, Entry> each : entries.tailMap(from, true).entrySet()) {
      if (!each.getKey().startsWith(under)) {
        break;
      }
      if (each.getKey().equals(since)) {
        continue;
      }
      ObjectNode item = item(each.getKey(), each.getValue());
      bytes += item.toString().length();
      if (items.size() == page || bytes > 500 * 1024) {
        more = true;
        break;
      }
      items.add(item);
    }
    ObjectNode answer = Net.object().put("more", more).put("epoch", epoch);
    answer.set("items", items);
    return Net.answer(200, answer);
  }

  private Net.Answer malformed(String why) {
    refusedAsMalformed++;
    Net.log("state service refuses a transaction with 400: %s", why);
    return Net.answer(400, Net.object().put("error", why));
  }

  private Net.Answer transaction(byte[] body) {
    if (body.length > 64 * 1024) {
      return malformed("over 64 KiB");
    }
    JsonNode txn = Net.parse(body);
    JsonNode then = txn.path("then");
    JsonNode guards = txn.path("guards");
    if (then.size() > txnOps || guards.size() > 4 * txnOps) {
      return malformed("too many operations: " + then.size());
    }
    for (JsonNode change : then) {
      if (change.has("put")
          && change.path("data").toString().getBytes(StandardCharsets.UTF_8).length > valueBytes) {
        return malformed("value of " + change.path("put").asText() + " is too long");
      }
    }
    if (!take(0, then.size())) {
      return new Net.Answer(429, "{}");
    }
    for (JsonNode change : then) {
      long permit = change.path("permit").asLong(0);
      if (permit > 0 && !leases.containsKey(permit)) {
        return Net.answer(400, Net.object().put("error", "no such lease"));
      }
    }
    ArrayNode failed = Net.array();
    for (JsonNode guard : guards) {
      Entry entry = entries.get(guard.path("k").asText());
      if (guard.path("stamp").asLong() != (entry == null ? 0 : entry.stamp)) {
        failed.add(guard.path("k").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode answer = Net.object().put("epoch", epoch);
      answer.set("failed", failed);
      return Net.answer(409, answer);
    }
    if (then.size() > 0) {
      epoch++;
      for (JsonNode change : then) {
        if (change.has("put")) {
          put(change.path("put").asText(), change.path("data"), change.path("permit").asLong(0));
        } else {
          drop(change.path("drop").asText());
        }
      }
      notifyAll();
    }
    return Net.answer(200, Net.object().put("epoch", epoch));
  }

  private void put(String key, JsonNode data, long permit) {
    entries.put(key, new Entry(data, epoch, permit));
    remember(new Change(epoch, key, data, permit));
  }

  private void drop(String key) {
    if (entries.remove(key) != null) {
      remember(new Change(epoch, key, null, 0));
    }
  }

  private void remember(Change change) {
    history.add(change);
    if (history.size() > HISTORY) {
      history.poll();
    }
  }

  private Net.Answer grants(String method, String path, byte[] body) {
    if (path.equals("/grants")) {
      long ttlMs = Net.parse(body).path("ttl_ms").asLong();
      leases.put(++lastPermit, new Lease(ttlMs, Net.now() + ttlMs / 1e3));
      return Net.answer(200, Net.object().put("permit", lastPermit));
    }
    long id = Long.parseLong(path.split("/")[2]);
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Net.Answer(404, "{}");
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      leases.put(id, new Lease(lease.ttlMs, Net.now() + lease.ttlMs / 1e3));
    }
    return new Net.Answer(200, "{}");
  }

  private void end(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.permit == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(this::drop);
      notifyAll();
    }
  }

  private void expire() {
    while (true) {
      synchronized (this) {
        if (!outage) {
          double now = Net.now();
          List<Long> over = new ArrayList<>();
          leases.forEach(
              (id, lease) -> {
                if (lease.endsAt < now) {
                  over.add(id);
                }
              });
          over.forEach(this::end);
        }
      }
      Net.sleep(0.02);
    }
  }

  private synchronized Net.Answer follow(Map<String, String> query) {
    if (outage) {
      return new Net.Answer(503, "{}");
    }
    if (!take(1, 0)) {
      return new Net.Answer(429, "{}");
    }
    String under = query.getOrDefault("under", "");
    long since = Long.parseLong(query.get("since"));
    double until = Net.now() + Long.parseLong(query.getOrDefault("wait_ms", "0")) / 1e3;
    while (true) {
      if (history.size() == HISTORY && history.peek().stamp > since + 1) {
        return new Net.Answer(410, "{}");
      }
      ArrayNode log = Net.array();
      for (Change change : history) {
        if (change.stamp > since && change.key.startsWith(under)) {
          ObjectNode entry =
              Net.object().put(change.data == null ? "drop" : "put", change.key);
          if (change.data != null) {
            entry.set("data", change.data);
          }
          log.add(entry.put("stamp", change.stamp));
        }
      }
      double left = until - Net.now();
      if (!outage && (!log.isEmpty() || left <= 0)) {
        ObjectNode answer = Net.object().put("epoch", epoch);
        answer.set("log", log);
        return Net.answer(200, answer);
      }
      try {
        wait(outage ? 100 : Math.max(1, (long) (left * 1000)));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
