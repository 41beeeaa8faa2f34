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
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * Emulates the state service, a key-value store with leases, watches and conditional transactions,
 * and injects faults into its responses.
 */
final class FakeStore implements SimulatedNetwork.Service {
  private record Entry(JsonNode data, long revision, long leaseId) {}

  private record Change(long revision, String key, JsonNode data) {}

  private final SimulatedCluster cluster;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseTtl = new HashMap<>();
  private final List<Change> changeLog = new ArrayList<>();
  private final List<Runnable> waitingWatches = new ArrayList<>();
  private long storeRevision = 10;
  private long lastLeaseId;
  boolean outage;
  final Set<String> refusedControllers = new HashSet<>();

  /** Controllers whose watch requests are never answered; other requests are answered. */
  final Set<String> controllersWithoutWatches = new HashSet<>();

  /** Largest accepted value in bytes; a transaction with a larger value is refused with 400. */
  int maxValueBytes = Integer.MAX_VALUE;

  int maxTransactionOps = 8;
  int malformedTransactions;
  int requestCount;

  /** Key prefix whose watches report no changes, or null; for tests of the invariant checks. */
  String prefixWithoutChanges;

  /** The only controller that sees no changes under {@code prefixWithoutChanges}; null for all. */
  String controllerWithoutChanges;

  /**
   * Name of a field that is removed from each job record when the record is written, or null; for
   * tests of the invariant checks.
   */
  String removedJobField;

  /**
   * Number of recent key changes that the store keeps for watches. A watch from an older revision
   * is answered 410, and the controller has to list the keys again.
   */
  int retainedChanges = 10_000;

  /**
   * Key prefix or null; the next transaction that puts a key under the prefix is applied but not
   * answered.
   */
  String unansweredWritePrefix;

  /**
   * Key prefix or null; {@code intervention} runs right before the next transaction that puts a key
   * under the prefix.
   */
  String interventionPrefix;

  Runnable intervention;

  /**
   * Share of transactions with changes that are not answered and not applied at once. The store
   * applies them 2 to 12 s later if it has received a newer transaction of the same controller, and
   * drops them otherwise.
   */
  double lateWriteShare;

  /** Share of transactions with changes that are applied immediately but not answered. */
  double unansweredWriteShare;

  /** Number of transactions that the store applied after a newer one of the same controller. */
  int appliedAfterNewer;

  /** Number of transactions that the store applied immediately but did not answer. */
  int appliedUnanswered;

  /** Additional delay of each response. */
  long responseDelayMicros;

  private final Map<String, Long> newestTransactionByController = new HashMap<>();
  private long transactionsReceived;

  /** Key prefix or null; requests that list the keys under the prefix are never answered. */
  String unansweredListingPrefix;

  /** Number of requests of each controller that were answered 503. */
  final Map<String, Integer> refusals = new HashMap<>();

  /**
   * True if transactions are applied without checking their preconditions; for tests of the
   * invariant checks.
   */
  boolean ignorePreconditions;

  /**
   * Key prefix or null; requests that list the keys under the prefix return no keys; for tests of
   * the invariant checks.
   */
  String hiddenPrefix;

  FakeStore(SimulatedCluster cluster) {
    this.cluster = cluster;
    cluster.at(50_000, this::expireLeases);
  }

  void endOutage() {
    outage = false;
    // Leases must not expire because of the outage, so each lease gets its full TTL from now.
    leaseTtl.forEach((p, ttl) -> leaseEnds.computeIfPresent(p, (k, end) -> cluster.now() + ttl));
  }

  private void expireLeases() {
    if (!outage) {
      for (Long leaseId : new ArrayList<>(leaseEnds.keySet())) {
        if (leaseEnds.get(leaseId) <= cluster.now()) {
          endLease(leaseId);
        }
      }
    }
    cluster.at(50_000, this::expireLeases);
  }

  private void endLease(long leaseId) {
    leaseEnds.remove(leaseId);
    leaseTtl.remove(leaseId);
    List<String> endedKeys = new ArrayList<>();
    keys.forEach(
        (k, e) -> {
          if (e.leaseId == leaseId) {
            endedKeys.add(k);
          }
        });
    if (!endedKeys.isEmpty()) {
      storeRevision++;
      endedKeys.forEach(
          k -> {
            keys.remove(k);
            changeLog.add(new Change(storeRevision, k, null));
          });
      notifyWatches();
    }
  }

  private void notifyWatches() {
    List<Runnable> list = new ArrayList<>(waitingWatches);
    waitingWatches.clear();
    list.forEach(r -> cluster.at(0, r));
  }

  /** Highest number of requests in one second so far. */
  int maxRequestsPerSecond;

  /** Highest number of key changes (puts and deletions) in one second so far. */
  int maxChangesPerSecond;

  int largestValueBytes;
  private long currentSecond;
  private int requestsThisSecond;
  private int changesThisSecond;

  private void countOperations(int puts) {
    if (cluster.now() / 1_000_000 != currentSecond) {
      currentSecond = cluster.now() / 1_000_000;
      requestsThisSecond = 0;
      changesThisSecond = 0;
    }
    requestsThisSecond += puts == 0 ? 1 : 0;
    changesThisSecond += puts;
    maxRequestsPerSecond = Math.max(maxRequestsPerSecond, requestsThisSecond);
    maxChangesPerSecond = Math.max(maxChangesPerSecond, changesThisSecond);
  }

  /**
   * Sets every key under the prefix to the given value, without a new revision and without
   * notifying watches.
   */
  void overwriteSilently(String prefix, JsonNode data) {
    keys.replaceAll((k, e) -> k.startsWith(prefix) ? new Entry(data, e.revision, e.leaseId) : e);
  }

  /** Simulated time in microseconds at which the last leader was elected. */
  long termStartMicros;

  /** Returns the term of the last leader elected. */
  long term() {
    Entry entry = keys.get("office/term");
    return entry == null ? 0 : entry.data.path("term").asLong();
  }

  /** Returns all keys under the prefix with their values. */
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

  /**
   * Replaces all keys under the prefix by the given ones, with a new revision, and notifies
   * watches.
   */
  void replaceAll(String prefix, Map<String, JsonNode> values) {
    storeRevision++;
    for (String key : entries(prefix).keySet()) {
      keys.remove(key);
      changeLog.add(new Change(storeRevision, key, null));
    }
    values.forEach(
        (k, v) -> {
          keys.put(k, new Entry(v, storeRevision, 0));
          changeLog.add(new Change(storeRevision, k, v));
        });
    notifyWatches();
  }

  List<JsonNode> values(String prefix) {
    return keys.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .map(e -> e.getValue().data)
        .toList();
  }

  /** Returns the number of changes of the key, or of all keys if the key is empty. */
  int changesOf(String key) {
    return (int)
        changeLog.stream().filter(change -> key.isEmpty() || change.key.equals(key)).count();
  }

  int count(String prefix) {
    return (int) keys.keySet().stream().filter(k -> k.startsWith(prefix)).count();
  }

  @Override
  public void handle(
      String from, String method, String path, String body, SimulatedNetwork.Reply reply) {
    countOperations(0);
    requestCount++;
    if (controllersWithoutWatches.contains(from) && path.startsWith("/follow?")) {
      return;
    }
    if (unansweredListingPrefix != null
        && path.startsWith("/keys?under=" + unansweredListingPrefix)) {
      return;
    }
    if (outage || refusedControllers.contains(from)) {
      refusals.merge(from, 1, Integer::sum);
      reply.send(503, "{\"error\":\"trouble\"}");
      return;
    }
    SimulatedNetwork.Reply undelayed = reply;
    reply =
        responseDelayMicros == 0
            ? undelayed
            : (status, text) -> cluster.at(responseDelayMicros, () -> undelayed.send(status, text));
    try {
      if (path.equals("/txn")) {
        applyOrInjectFault(from, Json.parseObject(body), reply);
      } else if (path.equals("/grants")) {
        long ttl = Json.parseObject(body).path("ttl_ms").asLong() * 1_000;
        leaseEnds.put(++lastLeaseId, cluster.now() + ttl);
        leaseTtl.put(lastLeaseId, ttl);
        reply.send(200, "{\"permit\":" + lastLeaseId + "}");
      } else if (path.startsWith("/grants/")) {
        String[] parts = path.split("/");
        long leaseId = Long.parseLong(parts[2]);
        if (!leaseEnds.containsKey(leaseId)) {
          reply.send(404, "{}");
        } else if (method.equals("DELETE")) {
          endLease(leaseId);
          reply.send(200, "{}");
        } else {
          leaseEnds.put(leaseId, cluster.now() + leaseTtl.get(leaseId));
          reply.send(200, "{}");
        }
      } else if (path.startsWith("/keys/")) {
        String key = path.substring(6);
        Entry entry = keys.get(key);
        if (entry == null) {
          reply.send(404, "{\"epoch\":" + storeRevision + "}");
        } else {
          reply.send(200, Json.write(listedEntry(key, entry)));
        }
      } else if (path.startsWith("/keys?")) {
        list(query(path), reply);
      } else if (path.startsWith("/follow?")) {
        watch(from, query(path), cluster.now(), reply);
      } else {
        reply.send(404, "{}");
      }
    } catch (InvalidMessageException e) {
      reply.send(400, "{}");
    }
  }

  private static ObjectNode listedEntry(String key, Entry entry) {
    ObjectNode object =
        Json.object().put("k", key).put("stamp", entry.revision).put("permit", entry.leaseId);
    object.set("data", entry.data);
    return object;
  }

  private static Map<String, String> query(String path) {
    Map<String, String> parameters = new HashMap<>();
    for (String parameter : path.substring(path.indexOf('?') + 1).split("&")) {
      int eq = parameter.indexOf('=');
      parameters.put(parameter.substring(0, eq), parameter.substring(eq + 1));
    }
    return parameters;
  }

  private void list(Map<String, String> parameters, SimulatedNetwork.Reply reply) {
    String under = parameters.get("under");
    ObjectNode out = Json.object().put("epoch", storeRevision);
    ArrayNode items = out.putArray("items");
    int page = Integer.parseInt(parameters.getOrDefault("page", "100"));
    boolean more = false;
    if (!under.equals(hiddenPrefix)) {
      for (Map.Entry<String, Entry> entry :
          keys.tailMap(parameters.getOrDefault("since", under), !parameters.containsKey("since"))
              .entrySet()) {
        if (!entry.getKey().startsWith(under)) {
          break;
        }
        if (items.size() == page) {
          more = true;
          break;
        }
        items.add(listedEntry(entry.getKey(), entry.getValue()));
      }
    }
    out.put("more", more);
    reply.send(200, Json.write(out));
  }

  private void watch(
      String controller,
      Map<String, String> parameters,
      long startMicros,
      SimulatedNetwork.Reply reply) {
    String under = parameters.get("under");
    long sinceRevision = Long.parseLong(parameters.get("since"));
    ObjectNode out = Json.object().put("epoch", storeRevision);
    ArrayNode changes = out.putArray("log");
    if (changeLog.size() > retainedChanges
        && changeLog.get(changeLog.size() - retainedChanges).revision > sinceRevision) {
      reply.send(410, "{}");
      return;
    }
    for (Change change : changeLog) {
      if (under.equals(prefixWithoutChanges)
          && (controllerWithoutChanges == null || controllerWithoutChanges.equals(controller))) {
        break;
      }
      if (change.revision > sinceRevision && change.key.startsWith(under)) {
        ObjectNode object = changes.addObject().put("stamp", change.revision);
        if (change.data == null) {
          object.put("drop", change.key);
        } else {
          object.put("put", change.key).set("data", change.data);
        }
      }
    }
    long wait = Long.parseLong(parameters.getOrDefault("wait_ms", "0")) * 1_000;
    if (!changes.isEmpty() || cluster.now() >= startMicros + wait) {
      reply.send(200, Json.write(out));
      return;
    }
    boolean[] retried = new boolean[1];
    Runnable retry =
        () -> {
          if (!retried[0]) {
            retried[0] = true;
            watch(controller, parameters, startMicros, reply);
          }
        };
    waitingWatches.add(retry);
    cluster.at(startMicros + wait - cluster.now(), retry);
  }

  /**
   * Applies the transaction, or injects one of the configured faults: the transaction is applied
   * without a response, immediately or after a newer transaction of the same controller.
   */
  private void applyOrInjectFault(String from, ObjectNode object, SimulatedNetwork.Reply reply) {
    long transactionNumber = ++transactionsReceived;
    boolean changes = !object.path("then").isEmpty();
    if (interventionPrefix != null
        && Json.write(object).contains("\"put\":\"" + interventionPrefix)) {
      interventionPrefix = null;
      intervention.run();
    }
    if (unansweredWritePrefix != null
        && Json.write(object).contains("\"put\":\"" + unansweredWritePrefix)) {
      unansweredWritePrefix = null;
      appliedUnanswered++;
      applyTransaction(object, (status, text) -> {});
    } else if (changes && cluster.random.nextDouble() < unansweredWriteShare) {
      appliedUnanswered++;
      applyTransaction(object, (status, text) -> {});
    } else if (changes && cluster.random.nextDouble() < lateWriteShare) {
      cluster.at(
          2_000_000 + cluster.random.nextLong(10_000_000),
          () -> {
            if (!outage
                && newestTransactionByController.getOrDefault(from, 0L) > transactionNumber) {
              appliedAfterNewer++;
              applyTransaction(object, (status, text) -> {});
            }
          });
    } else {
      if (changes) {
        newestTransactionByController.put(from, transactionNumber);
      }
      applyTransaction(object, reply);
    }
  }

  private void applyTransaction(ObjectNode object, SimulatedNetwork.Reply reply) {
    for (JsonNode precondition : object.path("guards")) {
      Entry entry = keys.get(precondition.path("k").asText());
      if (!ignorePreconditions
          && (entry == null ? 0 : entry.revision) != precondition.path("stamp").asLong()) {
        reply.send(409, "{\"failed\":[],\"epoch\":" + storeRevision + "}");
        return;
      }
    }
    for (JsonNode change : object.path("then")) {
      if (change.hasNonNull("permit") && !leaseEnds.containsKey(change.get("permit").asLong())) {
        reply.send(400, "{\"error\":\"no such lease\"}");
        return;
      }
    }
    if (!object.path("then").isEmpty()) {
      countOperations(object.path("then").size());
    }
    boolean tooLarge = false;
    for (JsonNode change : object.path("then")) {
      tooLarge |= Json.write(change.path("data")).length() > maxValueBytes;
    }
    if (object.path("then").size() > maxTransactionOps
        || object.path("guards").size() > 4 * maxTransactionOps
        || tooLarge
        || Json.write(object).length() > 65_536) {
      malformedTransactions++;
      reply.send(400, "{\"error\":\"too many\"}");
      return;
    }
    storeRevision++;
    for (JsonNode change : object.path("then")) {
      if (change.hasNonNull("put")) {
        largestValueBytes = Math.max(largestValueBytes, Json.write(change.path("data")).length());
        if (change.get("put").asText().endsWith("office/term")) {
          termStartMicros = cluster.now();
          cluster.network.deliverKeptHeartbeats();
        }
        if (change.get("put").asText().equals("office/mandate")) {
          cluster.network.delegationChecker.onDelegationStored(change.path("data"));
        }
        if (removedJobField != null && change.path("data").path("job") instanceof ObjectNode job) {
          job.remove(removedJobField);
        }
        keys.put(
            change.get("put").asText(),
            new Entry(change.path("data"), storeRevision, change.path("permit").asLong(0)));
        changeLog.add(new Change(storeRevision, change.get("put").asText(), change.path("data")));
      } else if (keys.remove(change.path("drop").asText()) != null) {
        changeLog.add(new Change(storeRevision, change.get("drop").asText(), null));
      }
    }
    reply.send(200, "{\"epoch\":" + storeRevision + "}");
    notifyWatches();
  }
}
