package plumlever.warmup;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import plumlever.concurrent.EventLoop;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * An in-memory state service for one controller. It implements transactions, listings and watches
 * without limits on sizes or request rates; leases never expire.
 */
final class InMemoryStateService {
  private record Entry(JsonNode value, long revision, long leaseId) {}

  /**
   * One event of a watch.
   *
   * @param value null if the key was deleted
   */
  private record Event(long revision, String key, JsonNode value) {}

  private static final long MAX_WAIT_MICROS = 300_000;
  private static final String TRANSACTION_PATH = "/txn";
  private static final String LEASES_PATH = "/grants";
  private static final String KEY_PATH = "/keys/";
  private static final String LIST_PATH = "/keys?";
  private static final String WATCH_PATH = "/follow?";
  private static final String KEY = "k";
  private static final String VALUE = "data";
  private static final String REVISION = "stamp";
  private static final String LEASE_ID = "permit";
  private static final String STORE_REVISION = "epoch";
  private static final String PUT = "put";
  private static final String DELETE = "drop";

  private final EventLoop loop;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long storeRevision = 1;
  private long lastLeaseId;

  InMemoryStateService(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Handles a request to the state service.
   *
   * @return false if the path does not belong to the state service
   */
  boolean handle(String method, String path, byte[] body, WarmUpServices.Reply reply)
      throws InvalidMessageException {
    if (path.equals(TRANSACTION_PATH)) {
      transact(Json.parseObject(body), reply);
    } else if (path.startsWith(LEASES_PATH)) {
      boolean creates = method.equals("POST") && path.equals(LEASES_PATH);
      reply.send(HttpStatus.OK, creates ? createLease() : "{}");
    } else if (path.startsWith(KEY_PATH)) {
      read(path.substring(KEY_PATH.length()), reply);
    } else if (path.startsWith(LIST_PATH)) {
      list(parameter(path, "under"), reply);
    } else if (path.startsWith(WATCH_PATH)) {
      watch(parameter(path, "under"), Long.parseLong(parameter(path, "since")), true, reply);
    } else {
      return false;
    }
    return true;
  }

  private static String parameter(String path, String name) {
    int from = path.indexOf(name + "=") + name.length() + 1;
    int to = path.indexOf('&', from);
    return to < 0 ? path.substring(from) : path.substring(from, to);
  }

  private String createLease() {
    lastLeaseId++;
    return Json.write(Json.object().put(LEASE_ID, lastLeaseId));
  }

  private void read(String key, WarmUpServices.Reply reply) {
    Entry entry = entries.get(key);
    if (entry == null) {
      reply.send(
          HttpStatus.NOT_FOUND, Json.write(Json.object().put(STORE_REVISION, storeRevision)));
    } else {
      reply.send(HttpStatus.OK, Json.write(item(key, entry)));
    }
  }

  private static ObjectNode item(String key, Entry entry) {
    ObjectNode item =
        Json.object().put(KEY, key).put(REVISION, entry.revision).put(LEASE_ID, entry.leaseId);
    item.set(VALUE, entry.value);
    return item;
  }

  private void transact(ObjectNode transaction, WarmUpServices.Reply reply) {
    for (JsonNode precondition : transaction.path("guards")) {
      Entry entry = entries.get(precondition.path(KEY).asText());
      long revision = entry == null ? 0 : entry.revision;
      if (revision != precondition.path(REVISION).asLong()) {
        ObjectNode failure = Json.object().put(STORE_REVISION, storeRevision);
        failure.putArray("failed").add(precondition.path(KEY));
        reply.send(HttpStatus.CONFLICT, Json.write(failure));
        return;
      }
    }
    storeRevision++;
    transaction.path("then").forEach(this::apply);
    reply.send(HttpStatus.OK, Json.write(Json.object().put(STORE_REVISION, storeRevision)));
  }

  private void apply(JsonNode operation) {
    if (operation.hasNonNull(PUT)) {
      String key = operation.get(PUT).asText();
      JsonNode value = operation.path(VALUE);
      entries.put(key, new Entry(value, storeRevision, operation.path(LEASE_ID).asLong(0)));
      events.add(new Event(storeRevision, key, value));
    } else {
      String key = operation.path(DELETE).asText();
      if (entries.remove(key) != null) {
        events.add(new Event(storeRevision, key, null));
      }
    }
  }

  private void list(String prefix, WarmUpServices.Reply reply) {
    ObjectNode listing = Json.object().put(STORE_REVISION, storeRevision).put("more", false);
    ArrayNode items = listing.putArray("items");
    entries
        .tailMap(prefix, true)
        .forEach(
            (key, entry) -> {
              if (key.startsWith(prefix)) {
                items.add(item(key, entry));
              }
            });
    reply.send(HttpStatus.OK, Json.write(listing));
  }

  private void watch(String prefix, long since, boolean mayWait, WarmUpServices.Reply reply) {
    ObjectNode response = Json.object().put(STORE_REVISION, storeRevision);
    ArrayNode found = response.putArray("log");
    for (Event event : events) {
      if (event.revision > since && event.key.startsWith(prefix)) {
        found.add(json(event));
      }
    }
    if (found.isEmpty() && mayWait) {
      loop.after(MAX_WAIT_MICROS, () -> watch(prefix, since, false, reply));
    } else {
      reply.send(HttpStatus.OK, Json.write(response));
    }
  }

  private static ObjectNode json(Event event) {
    ObjectNode json = Json.object().put(REVISION, event.revision);
    if (event.value == null) {
      return json.put(DELETE, event.key);
    }
    json.put(PUT, event.key).set(VALUE, event.value);
    return json;
  }
}
