package plumlever.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import plumlever.concurrent.EventLoop;
import plumlever.http.Responder;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/** An in-memory state service that implements the protocol of the real one. */
final class StateServiceEmulator {
  private static final int MAX_HISTORY = 10_000;
  private static final int MAX_ITEMS = 1_000;
  private static final long MIN_TTL_MS = 100;
  private static final long MAX_TTL_MS = 600_000;
  private static final long EXPIRY_CHECK_MICROS = 50_000;

  private record Entry(JsonNode data, long revision, long leaseId) {}

  private record Change(long revision, String key, JsonNode data) {}

  /** A lease, which expires at {@code endsMicros} unless it is renewed. */
  private record Lease(long ttlMicros, long endsMicros) {}

  /** A watch request that has no response yet because no matching change has occurred. */
  private record Watch(String prefix, long since, long untilMicros, Responder out) {}

  private final EventLoop loop;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final List<Watch> watches = new ArrayList<>();
  private final BiConsumer<String, JsonNode> onPut;
  private long revision = 1;
  private long lastLeaseId;
  private long requests;
  private long changesMade;

  /**
   * @param onPut called with the key and the value of each put
   */
  StateServiceEmulator(EventLoop loop, BiConsumer<String, JsonNode> onPut) {
    this.onPut = onPut;
    this.loop = loop;
    loop.after(EXPIRY_CHECK_MICROS, this::expire);
  }

  /** Returns the number of requests that the emulator has received so far. */
  long requests() {
    return requests;
  }

  /** Returns the number of puts and deletions of keys so far. */
  long changesMade() {
    return changesMade;
  }

  /** Returns the total size in bytes of the stored values whose keys begin with the prefix. */
  long bytesUnder(String prefix) {
    return entries.tailMap(prefix, true).entrySet().stream()
        .takeWhile(entry -> entry.getKey().startsWith(prefix))
        .mapToLong(entry -> Json.write(entry.getValue().data()).length())
        .sum();
  }

  /** Returns the stored values whose keys begin with the prefix, by key. */
  Map<String, JsonNode> under(String prefix) {
    Map<String, JsonNode> found = new TreeMap<>();
    entries
        .tailMap(prefix, true)
        .forEach(
            (key, entry) -> {
              if (key.startsWith(prefix)) {
                found.put(key, entry.data());
              }
            });
    return found;
  }

  void handle(String method, String target, byte[] body, Responder out) {
    requests++;
    try {
      if (target.equals("/txn")) {
        transact(Json.parseObject(body), out);
      } else if (target.startsWith("/grants")) {
        lease(method, target, body, out);
      } else if (target.startsWith("/keys/")) {
        get(target.substring("/keys/".length()), out);
      } else if (target.startsWith("/keys?")) {
        list(Query.of(target), out);
      } else if (target.startsWith("/follow?")) {
        watch(Query.of(target), out);
      } else {
        out.error(HttpStatus.NOT_FOUND, "no such path");
      }
    } catch (InvalidMessageException | NumberFormatException e) {
      out.error(HttpStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  private void get(String key, Responder out) {
    Entry entry = entries.get(key);
    if (entry == null) {
      out.send(HttpStatus.NOT_FOUND, Json.write(Json.object().put("epoch", revision)));
    } else {
      out.send(HttpStatus.OK, Json.write(item(key, entry)));
    }
  }

  private static ObjectNode item(String key, Entry entry) {
    ObjectNode item =
        Json.object().put("k", key).put("stamp", entry.revision()).put("permit", entry.leaseId());
    item.set("data", entry.data());
    return item;
  }

  private void list(Query query, Responder out) {
    String prefix = query.text("under");
    String since = query.text("since");
    long page = Math.min(MAX_ITEMS, query.number("page", MAX_ITEMS));
    ObjectNode response = Json.object();
    ArrayNode items = response.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Entry> entry :
        entries.tailMap(since.isEmpty() ? prefix : since, since.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (items.size() == page) {
        more = true;
        break;
      }
      items.add(item(entry.getKey(), entry.getValue()));
    }
    out.send(HttpStatus.OK, Json.write(response.put("more", more).put("epoch", revision)));
  }

  private void transact(ObjectNode transaction, Responder out) {
    ArrayNode failed = Json.object().arrayNode();
    for (JsonNode precondition : transaction.path("guards")) {
      Entry entry = entries.get(precondition.path("k").asText());
      if ((entry == null ? 0 : entry.revision()) != precondition.path("stamp").asLong()) {
        failed.add(precondition.path("k"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode conflict = Json.object().put("epoch", revision);
      conflict.set("failed", failed);
      out.send(HttpStatus.CONFLICT, Json.write(conflict));
      return;
    }
    for (JsonNode change : transaction.path("then")) {
      if (change.hasNonNull("permit") && !leases.containsKey(change.get("permit").asLong())) {
        out.error(HttpStatus.BAD_REQUEST, "no such lease");
        return;
      }
    }
    revision++;
    transaction.path("then").forEach(this::apply);
    out.send(HttpStatus.OK, Json.write(Json.object().put("epoch", revision)));
    respondToWatches();
  }

  private void apply(JsonNode change) {
    changesMade++;
    if (change.hasNonNull("put")) {
      String key = change.get("put").asText();
      entries.put(key, new Entry(change.path("data"), revision, change.path("permit").asLong(0)));
      addToHistory(key, change.path("data"));
      onPut.accept(key, change.path("data"));
    } else {
      delete(change.path("drop").asText());
    }
  }

  private void delete(String key) {
    if (entries.remove(key) != null) {
      addToHistory(key, null);
    }
  }

  private void addToHistory(String key, JsonNode data) {
    changes.add(new Change(revision, key, data));
    if (changes.size() > MAX_HISTORY) {
      changes.poll();
    }
  }

  private void lease(String method, String target, byte[] body, Responder out)
      throws InvalidMessageException {
    if (target.equals("/grants")) {
      long ttlMicros =
          Json.wholeNumber(Json.parseObject(body), "ttl_ms", MIN_TTL_MS, MAX_TTL_MS) * 1_000;
      leases.put(++lastLeaseId, new Lease(ttlMicros, loop.nowMicros() + ttlMicros));
      out.send(HttpStatus.OK, Json.write(Json.object().put("permit", lastLeaseId)));
      return;
    }
    long leaseId = Long.parseLong(target.split("/")[2]);
    Lease lease = leases.get(leaseId);
    if (lease == null) {
      out.error(HttpStatus.NOT_FOUND, "no such lease");
    } else if (method.equals("DELETE")) {
      endLease(leaseId);
      out.send(HttpStatus.OK, "{}");
    } else {
      leases.put(leaseId, new Lease(lease.ttlMicros(), loop.nowMicros() + lease.ttlMicros()));
      out.send(HttpStatus.OK, "{}");
    }
  }

  private void endLease(long leaseId) {
    leases.remove(leaseId);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.leaseId() == leaseId) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::delete);
      respondToWatches();
    }
  }

  private void expire() {
    long now = loop.nowMicros();
    leases.entrySet().stream()
        .filter(entry -> entry.getValue().endsMicros() <= now)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::endLease);
    for (Iterator<Watch> open = watches.iterator(); open.hasNext(); ) {
      Watch watch = open.next();
      if (watch.untilMicros() <= now) {
        open.remove();
        respond(watch);
      }
    }
    loop.after(EXPIRY_CHECK_MICROS, this::expire);
  }

  private void watch(Query query, Responder out) {
    long since = query.number("since", 0);
    if (changes.size() == MAX_HISTORY && changes.peek().revision() > since) {
      out.error(HttpStatus.GONE, "too old");
      return;
    }
    long untilMicros = loop.nowMicros() + query.number("wait_ms", 0) * 1_000;
    Watch watch = new Watch(query.text("under"), since, untilMicros, out);
    if (matchingChanges(watch).isEmpty()) {
      watches.add(watch);
    } else {
      respond(watch);
    }
  }

  private List<Change> matchingChanges(Watch watch) {
    return changes.stream()
        .filter(change -> change.revision() > watch.since())
        .filter(change -> change.key().startsWith(watch.prefix()))
        .toList();
  }

  private void respond(Watch watch) {
    ObjectNode response = Json.object().put("epoch", revision);
    ArrayNode log = response.putArray("log");
    for (Change change : matchingChanges(watch)) {
      ObjectNode node = log.addObject().put("stamp", change.revision());
      if (change.data() == null) {
        node.put("drop", change.key());
      } else {
        node.put("put", change.key()).set("data", change.data());
      }
    }
    watch.out().send(HttpStatus.OK, Json.write(response));
  }

  private void respondToWatches() {
    for (Iterator<Watch> open = watches.iterator(); open.hasNext(); ) {
      Watch watch = open.next();
      if (!matchingChanges(watch).isEmpty()) {
        open.remove();
        respond(watch);
      }
    }
  }
}
