package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.Loop;
import plumlever.http.Caller;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * The state service's client. Keeps this controller's part of the request limits; a request over it
 * is refused here, at once. Answers that can't be understood count as no answer.
 */
public final class StateClient {
  /** A key with its value, revision and the lease it hangs on (0: none). */
  public record Item(String key, JsonNode data, long revision, long leaseId) {}

  /**
   * @param status 200, 404, or anything else for "not known"; 0 without an answer
   */
  public record ReadResult(int status, Item item) {
    public boolean found() {
      return status == HttpStatus.OK;
    }

    public boolean missing() {
      return status == HttpStatus.NOT_FOUND;
    }
  }

  /** All keys under a prefix, as of a revision from which changes can be watched. */
  public record Listing(List<Item> items, long storeRevision) {}

  /** One change; {@code data} is null when the key was dropped. */
  public record KeyEvent(String key, JsonNode data, long revision) {}

  /**
   * @param status 200, 410 when {@code since} was too old, else not known
   */
  public record WatchResponse(int status, long storeRevision, List<KeyEvent> events) {}

  /** What a renewal brought. */
  public enum RenewalResult {
    RENEWED,
    ENDED,
    UNKNOWN
  }

  /** Ordinary requests wait their turn; urgent ones (leadership, leases) go whatever the rate. */
  public enum RequestPriority {
    URGENT,
    ORDINARY
  }

  private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
  private static final long TIMEOUT_MICROS = 1_800_000;

  /** The limits are shared by all controllers, so each takes up to this part. */
  private static final double PART = 0.5;

  /** Of the changes the leader needs most: ends of jobs, records of jobs and machines, progress. */
  private static final double LEADER_PART = 0.7;

  private static final int PAGE = 500;

  /** A prefix of no key. */
  private static final String NOTHING = "nothing/";

  private final Loop loop;
  private final Caller caller;
  private final Endpoint at;
  private final Metrics metrics;
  private final KeySpace keySpace;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final double writesPerS;
  private final WriteLimits limits;
  private final Map<String, Long> surprises = new HashMap<>();
  private long lastServedMicros;
  private long refusedSinceMicros = -1;

  /** A client that keeps within its part of the limits. */
  public StateClient(
      Loop loop,
      Caller caller,
      Endpoint at,
      PlatformConfiguration.StateLimits limits,
      Metrics metrics) {
    this(loop, caller, at, limits, metrics, KeySpace.ROOT);
  }

  /** A client whose keys are in that space. */
  public StateClient(
      Loop loop,
      Caller caller,
      Endpoint at,
      PlatformConfiguration.StateLimits limits,
      Metrics metrics,
      KeySpace keySpace) {
    this.keySpace = keySpace;
    this.limits = new WriteLimits(limits);
    this.metrics = metrics;
    this.loop = loop;
    this.caller = caller;
    this.at = at;
    this.requests = new TokenBucket(limits.rps() * PART, loop.nowMicros());
    this.writesPerS = limits.writeRps();
    this.writes = new TokenBucket(writesPerS * PART, loop.nowMicros());
    this.lastServedMicros = loop.nowMicros();
  }

  /** How much one write may hold. */
  public WriteLimits limits() {
    return limits;
  }

  /** This controller leads now, or does no more. */
  public void leads(boolean now) {
    writes.rate(writesPerS * (now ? LEADER_PART : PART), loop.nowMicros());
  }

  /** When the service last did anything but refuse this controller. */
  public long lastServedMicros() {
    return lastServedMicros;
  }

  /**
   * How long every request has been refused or unanswered; 0 while the service serves this
   * controller. A quiet controller asks little, so silence alone is no sign.
   */
  public long refusedForMicros() {
    return refusedSinceMicros < 0 ? 0 : loop.nowMicros() - refusedSinceMicros;
  }

  /** Reads one key. */
  public void get(String key, RequestPriority priority, Consumer<ReadResult> then) {
    send(
        priority,
        0,
        "GET",
        StateProtocol.KEYS + keySpace.stored(key),
        null,
        TIMEOUT_MICROS,
        (status, o) -> {
          if (status == HttpStatus.OK
              && o != null
              && o.hasNonNull(StateProtocol.VALUE)
              && o.path(StateProtocol.REVISION).isIntegralNumber()) {
            then.accept(
                new ReadResult(
                    HttpStatus.OK,
                    new Item(
                        key,
                        o.get(StateProtocol.VALUE),
                        o.get(StateProtocol.REVISION).longValue(),
                        o.path(StateProtocol.LEASE_ID).asLong(0))));
          } else {
            then.accept(new ReadResult(status == HttpStatus.OK ? 0 : status, null));
          }
        });
  }

  /**
   * @param then takes null when the keys could not all be read
   */
  public void list(String prefix, RequestPriority priority, Consumer<Listing> then) {
    page(prefix, null, priority, new ArrayList<>(), -1, then);
  }

  private void page(
      String prefix,
      String since,
      RequestPriority priority,
      List<Item> into,
      long firstStoreRevision,
      Consumer<Listing> then) {
    String path =
        StateProtocol.KEYS_BY_PREFIX
            + keySpace.stored(prefix)
            + StateProtocol.PAGE_SIZE_PARAMETER
            + PAGE
            + (since == null ? "" : StateProtocol.AFTER_PARAMETER + since);
    send(
        priority,
        0,
        "GET",
        path,
        null,
        TIMEOUT_MICROS,
        (status, o) -> {
          if (status != HttpStatus.OK
              || o == null
              || !o.path(StateProtocol.ITEMS).isArray()
              || !o.path(StateProtocol.STORE_REVISION).isIntegralNumber()) {
            then.accept(null);
            return;
          }
          String last = null;
          for (JsonNode node : o.get(StateProtocol.ITEMS)) {
            last = node.path(StateProtocol.KEY).asText();
            into.add(
                new Item(
                    keySpace.known(last, prefix),
                    node.path(StateProtocol.VALUE),
                    node.path(StateProtocol.REVISION).asLong(),
                    node.path(StateProtocol.LEASE_ID).asLong(0)));
          }
          // Pages are read at different revisions; watching from the first one misses nothing in
          // between.
          long storeRevision =
              firstStoreRevision >= 0
                  ? firstStoreRevision
                  : o.get(StateProtocol.STORE_REVISION).longValue();
          if (o.path(StateProtocol.MORE).asBoolean(false) && last != null) {
            page(prefix, last, priority, into, storeRevision, then);
          } else {
            then.accept(new Listing(into, storeRevision));
          }
        });
  }

  /** The revision now; -1 when that can't be found out. */
  public void storeRevision(Consumer<Long> then) {
    send(
        RequestPriority.ORDINARY,
        0,
        "GET",
        StateProtocol.KEYS_BY_PREFIX + NOTHING + "&page=1",
        null,
        TIMEOUT_MICROS,
        (status, o) ->
            then.accept(
                status == HttpStatus.OK
                        && o != null
                        && o.path(StateProtocol.STORE_REVISION).isIntegralNumber()
                    ? o.get(StateProtocol.STORE_REVISION).longValue()
                    : -1L));
  }

  /** Sends a transaction; without an answer it may have been carried out, or may be later. */
  public void transaction(
      Transaction transaction, RequestPriority priority, Consumer<Transaction.Result> then) {
    send(
        priority,
        transaction.changes(),
        "POST",
        StateProtocol.TRANSACTION,
        keySpace.isRoot() && !transaction.namesAbsolute()
            ? transaction.body()
            : keySpace.stored(transaction.body()),
        TIMEOUT_MICROS,
        (status, o) -> {
          if (status == HttpStatus.PAYLOAD_TOO_LARGE
              || (status == HttpStatus.BAD_REQUEST && !transaction.isAttachedToLease())) {
            limits.refused(transaction);
          }
          Transaction.Outcome outcome =
              switch (status) {
                case HttpStatus.OK -> Transaction.Outcome.APPLIED;
                case HttpStatus.CONFLICT -> Transaction.Outcome.CONFLICT;
                case HttpStatus.BAD_REQUEST,
                    HttpStatus.PAYLOAD_TOO_LARGE,
                    HttpStatus.TOO_MANY_REQUESTS,
                    HttpStatus.UNAVAILABLE ->
                    Transaction.Outcome.REFUSED;
                default -> Transaction.Outcome.UNKNOWN;
              };
          List<String> failed = new ArrayList<>();
          if (o != null) {
            o.path(StateProtocol.FAILED_PRECONDITIONS)
                .forEach(
                    k -> failed.add(keySpace.isRoot() ? k.asText() : keySpace.known(k.asText())));
          }
          then.accept(
              new Transaction.Result(
                  outcome,
                  status,
                  o == null ? -1 : o.path(StateProtocol.STORE_REVISION).asLong(-1),
                  failed));
        });
  }

  /**
   * @param then takes the lease id, or -1
   */
  public void createLease(long ttlMicros, Consumer<Long> then) {
    send(
        RequestPriority.URGENT,
        0,
        "POST",
        StateProtocol.LEASES,
        Json.object().put(StateProtocol.TTL_MS, ttlMicros / 1_000),
        TIMEOUT_MICROS,
        (status, o) ->
            then.accept(
                status == HttpStatus.OK
                        && o != null
                        && o.path(StateProtocol.LEASE_ID).isIntegralNumber()
                    ? o.get(StateProtocol.LEASE_ID).longValue()
                    : -1L));
  }

  /** Renews a lease. */
  public void renewLease(long leaseId, Consumer<RenewalResult> then) {
    send(
        RequestPriority.URGENT,
        0,
        "POST",
        StateProtocol.LEASES + "/" + leaseId + StateProtocol.RENEW_SUFFIX,
        Json.object(),
        TIMEOUT_MICROS,
        (status, o) ->
            then.accept(
                status == HttpStatus.OK
                    ? RenewalResult.RENEWED
                    : status == HttpStatus.NOT_FOUND
                        ? RenewalResult.ENDED
                        : RenewalResult.UNKNOWN));
  }

  /** Ends a lease at once; the keys that are attached to it are deleted. */
  public void revokeLease(long leaseId) {
    send(
        RequestPriority.URGENT,
        0,
        "DELETE",
        StateProtocol.LEASES + "/" + leaseId,
        null,
        TIMEOUT_MICROS,
        (status, o) -> {});
  }

  /**
   * Asks for the changes under a prefix since a revision, waiting for the first if there is none
   * yet.
   */
  public void watch(String prefix, long since, long waitMicros, Consumer<WatchResponse> then) {
    String path =
        StateProtocol.WATCH_BY_PREFIX
            + keySpace.stored(prefix)
            + StateProtocol.AFTER_PARAMETER
            + since
            + StateProtocol.WAIT_MS_PARAMETER
            + waitMicros / 1_000;
    send(
        RequestPriority.URGENT,
        0,
        "GET",
        path,
        null,
        waitMicros + TIMEOUT_MICROS,
        (status, o) -> {
          if (status != HttpStatus.OK
              || o == null
              || !o.path(StateProtocol.STORE_REVISION).isIntegralNumber()) {
            then.accept(new WatchResponse(status == HttpStatus.OK ? 0 : status, since, List.of()));
            return;
          }
          List<KeyEvent> events = new ArrayList<>();
          for (JsonNode node : o.path(StateProtocol.EVENTS)) {
            if (node.hasNonNull(StateProtocol.PUT)) {
              events.add(
                  new KeyEvent(
                      keySpace.known(node.get(StateProtocol.PUT).asText(), prefix),
                      node.path(StateProtocol.VALUE),
                      node.path(StateProtocol.REVISION).asLong()));
            } else if (node.hasNonNull(StateProtocol.DELETE)) {
              events.add(
                  new KeyEvent(
                      keySpace.known(node.get(StateProtocol.DELETE).asText(), prefix),
                      null,
                      node.path(StateProtocol.REVISION).asLong()));
            }
          }
          then.accept(
              new WatchResponse(
                  HttpStatus.OK, o.get(StateProtocol.STORE_REVISION).longValue(), events));
        });
  }

  private interface Parsed {
    void take(int status, ObjectNode body);
  }

  private void send(
      RequestPriority priority,
      int changes,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      Parsed then) {
    long now = loop.nowMicros();
    if (priority == RequestPriority.URGENT) {
      requests.force(1, now);
      writes.force(changes, now);
    } else if (!requests.take(1, now) || (changes > 0 && !writes.take(changes, now))) {
      metrics.countRefusal("state", HttpStatus.TOO_MANY_REQUESTS);
      loop.after(0, () -> then.take(HttpStatus.TOO_MANY_REQUESTS, null));
      return;
    }
    byte[] bytes = body == null ? null : Json.write(body).getBytes(StandardCharsets.UTF_8);
    caller.call(
        at,
        method,
        path,
        bytes,
        timeoutMicros,
        (status, data) -> {
          metrics.countRefusal("state", status);
          if (status != 0 && status != HttpStatus.UNAVAILABLE) {
            lastServedMicros = loop.nowMicros();
            refusedSinceMicros = -1;
          } else if (refusedSinceMicros < 0) {
            refusedSinceMicros = loop.nowMicros();
          }
          ObjectNode parsed = null;
          if ((status == HttpStatus.OK || status == HttpStatus.CONFLICT) && data.length > 0) {
            try {
              parsed = Json.parseObject(data);
            } catch (InvalidMessageException e) {
              surprise(method + " " + kind(path), e.getMessage());
              then.take(status == HttpStatus.OK ? 0 : status, null);
              return;
            }
          } else if (status == HttpStatus.BAD_REQUEST) {
            surprise(method + " " + kind(path), new String(data, StandardCharsets.UTF_8));
          }
          then.take(status, parsed);
        });
  }

  private static String kind(String path) {
    int end = 1;
    while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
      end++;
    }
    return path.substring(0, end);
  }

  /** Logged once for each kind, counted always. */
  private void surprise(String kind, String what) {
    if (surprises.merge(kind, 1L, Long::sum) == 1) {
      LOG.warn("state service gave a surprising answer to {}: {}", kind, what);
    }
  }
}
