package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * The client of the state service. This controller may use only a share of the service's rate
 * limits: an ordinary request that exceeds the share is not sent and fails immediately. An
 * unreadable response is treated like a missing one.
 *
 * <p>Threads: all methods are called on the loop that the client was created with, and all handlers
 * run on that loop.
 */
public final class StateClient {
  /**
   * A stored key with its value.
   *
   * @param data the value
   * @param leaseId the lease that the key is attached to; 0 if none
   */
  public record Item(String key, JsonNode data, long revision, long leaseId) {}

  /**
   * The result of reading one key.
   *
   * @param status 200 or 404; any other status means that the result is unknown, 0 that no response
   *     arrived
   * @param foundItem the key and its value if the key exists
   */
  public record ReadResult(int status, Optional<Item> foundItem) {
    /** Returns true if the key exists. */
    public boolean found() {
      return status == HttpStatus.OK;
    }

    /** Returns the key and its value; call only if {@link #found}. */
    public Item item() {
      return foundItem.orElseThrow();
    }

    /** Returns true if the state service reported that the key does not exist. */
    public boolean missing() {
      return status == HttpStatus.NOT_FOUND;
    }
  }

  /**
   * All keys under a prefix, and the revision of the state service from which later changes can be
   * watched.
   */
  public record Listing(List<Item> items, long storeRevision) {}

  /**
   * A change of a key.
   *
   * @param value the new value, empty if the key was deleted
   */
  public record KeyEvent(String key, Optional<JsonNode> value, long revision) {
    /** Returns true if the key was deleted. */
    public boolean deleted() {
      return value.isEmpty();
    }

    /** Returns the new value; call only if the key was not {@link #deleted}. */
    public JsonNode data() {
      return value.orElseThrow();
    }
  }

  /**
   * The result of a watch request.
   *
   * @param status 200 if the changes were returned; 410 if the state service no longer has all
   *     changes since the start revision; after any other status the changes are unknown
   * @param storeRevision the revision up to which {@code events} are complete
   */
  public record WatchResponse(int status, long storeRevision, List<KeyEvent> events) {
    /**
     * Returns true if the watch request succeeded. Its events are then complete, but there may be
     * none.
     */
    public boolean succeeded() {
      return status == HttpStatus.OK;
    }

    /**
     * Returns true if the state service no longer has the changes since the start revision of the
     * watch, so that all keys have to be read again.
     */
    public boolean expired() {
      return status == HttpStatus.GONE;
    }
  }

  /** The result of renewing a lease. */
  public enum RenewalResult {
    /** The lease has its full time to live again. */
    RENEWED,
    /** The lease had already ended, and the keys attached to it are deleted. */
    ENDED,
    /** The renewal request was refused or had no response. The lease may have been renewed. */
    UNKNOWN
  }

  /**
   * How a request is handled that exceeds this controller's share of the state service's rate
   * limits.
   */
  public enum RequestPriority {
    /**
     * Sent even if the share is exceeded, and counted, so that later ordinary requests are refused
     * earlier. Used where a refusal would do harm: for leadership, leases, watches and final states
     * of jobs.
     */
    URGENT,
    /** Not sent if the share is exceeded; the request then fails immediately with status 429. */
    ORDINARY
  }

  /**
   * An HTTP request to the state service.
   *
   * @param operations the number of puts and deletes in the body
   */
  private record Request(
      RequestPriority priority,
      int operations,
      String method,
      String path,
      Optional<JsonNode> body,
      long timeoutMicros) {
    static Request get(RequestPriority priority, String path, long timeoutMicros) {
      return new Request(priority, 0, "GET", path, Optional.empty(), timeoutMicros);
    }

    static Request urgentPost(String path, JsonNode body) {
      return post(RequestPriority.URGENT, 0, path, body);
    }

    static Request post(RequestPriority priority, int operations, String path, JsonNode body) {
      return new Request(priority, operations, "POST", path, Optional.of(body), TIMEOUT_MICROS);
    }

    static Request urgentDelete(String path) {
      return new Request(
          RequestPriority.URGENT, 0, "DELETE", path, Optional.empty(), TIMEOUT_MICROS);
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
  private static final long TIMEOUT_MICROS = 1_800_000;
  private static final int PAGE_SIZE = 500;

  /**
   * A prefix under which no key is ever stored. Listing it is a cheap way to read the current
   * revision of the state service.
   */
  private static final String UNUSED_PREFIX = "nothing/";

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final Endpoint endpoint;
  private final Metrics metrics;
  private final KeySpace keySpace;
  private final StateResponseReader responseReader;
  private final RequestBudget budget;
  private final ServiceAvailability availability;
  private final WriteLimits limits;
  private final UnexpectedResponses unexpectedResponses = new UnexpectedResponses(LOG);

  /** Creates a client that uses keys without a prefix. */
  public StateClient(
      EventLoop loop,
      HttpClient httpClient,
      Endpoint endpoint,
      PlatformConfiguration.StateLimits limits,
      Metrics metrics) {
    this(loop, httpClient, endpoint, limits, metrics, KeySpace.ROOT);
  }

  /** Creates a client that adds the prefix of the given key space to its keys. */
  public StateClient(
      EventLoop loop,
      HttpClient httpClient,
      Endpoint endpoint,
      PlatformConfiguration.StateLimits limits,
      Metrics metrics,
      KeySpace keySpace) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.endpoint = endpoint;
    this.metrics = metrics;
    this.keySpace = keySpace;
    this.responseReader = new StateResponseReader(keySpace);
    this.budget = new RequestBudget(limits, loop.nowMicros());
    this.availability = new ServiceAvailability(loop.nowMicros());
    this.limits = new WriteLimits(limits);
  }

  /** Returns the limits of a single write: the maximum value size and number of operations. */
  public WriteLimits limits() {
    return limits;
  }

  /** Sets whether this controller leads; a leader gets a larger share of the writes. */
  public void setLeading(boolean leading) {
    budget.setLeading(leading, loop.nowMicros());
  }

  /** Returns the time at which the state service last responded with a status other than 503. */
  public long lastServedMicros() {
    return availability.lastServedMicros();
  }

  /**
   * Returns for how long the state service has refused every request or not responded; 0 if it
   * served the last request. The duration is counted from the first failed request and not from the
   * last successful one, because an idle controller sends few requests.
   */
  public long refusedForMicros() {
    return availability.refusedForMicros(loop.nowMicros());
  }

  /** Reads one key. */
  public void get(String key, RequestPriority priority, Consumer<ReadResult> handler) {
    send(
        Request.get(priority, StateProtocol.KEYS + keySpace.toStored(key), TIMEOUT_MICROS),
        response -> handler.accept(responseReader.readResult(response, key)));
  }

  /**
   * Reads all keys under a prefix, page by page.
   *
   * @param handler receives an empty value if any page could not be read
   */
  public void list(String prefix, RequestPriority priority, Consumer<Optional<Listing>> handler) {
    readPage(
        prefix,
        Optional.empty(),
        priority,
        page -> {
          if (page.isPresent()) {
            // Pages are read at different revisions. A watch that starts from the revision of the
            // first page also reports the changes made between the pages.
            Listing listing =
                new Listing(new ArrayList<>(page.get().items()), page.get().storeRevision());
            listNextPage(prefix, priority, page.get().lastStoredKey(), listing, handler);
          } else {
            handler.accept(Optional.empty());
          }
        });
  }

  private void listNextPage(
      String prefix,
      RequestPriority priority,
      Optional<String> lastStoredKey,
      Listing listing,
      Consumer<Optional<Listing>> handler) {
    if (lastStoredKey.isEmpty()) {
      handler.accept(Optional.of(listing));
      return;
    }
    readPage(
        prefix,
        lastStoredKey,
        priority,
        page -> {
          if (page.isPresent()) {
            listing.items().addAll(page.get().items());
            listNextPage(prefix, priority, page.get().lastStoredKey(), listing, handler);
          } else {
            handler.accept(Optional.empty());
          }
        });
  }

  private void readPage(
      String prefix,
      Optional<String> afterStoredKey,
      RequestPriority priority,
      Consumer<Optional<StateResponseReader.Page>> handler) {
    String path =
        StateProtocol.KEYS_BY_PREFIX
            + keySpace.toStored(prefix)
            + StateProtocol.PAGE_SIZE_PARAMETER
            + PAGE_SIZE
            + afterStoredKey.map(key -> StateProtocol.AFTER_PARAMETER + key).orElse("");
    send(
        Request.get(priority, path, TIMEOUT_MICROS),
        response -> handler.accept(responseReader.page(response, prefix)));
  }

  /**
   * Reads the current revision of the state service.
   *
   * @param handler receives an empty value if the revision could not be read
   */
  public void storeRevision(Consumer<OptionalLong> handler) {
    String path =
        StateProtocol.KEYS_BY_PREFIX + UNUSED_PREFIX + StateProtocol.PAGE_SIZE_PARAMETER + 1;
    send(
        Request.get(RequestPriority.ORDINARY, path, TIMEOUT_MICROS),
        response -> handler.accept(responseReader.storeRevision(response)));
  }

  /**
   * Sends a transaction. If no response arrives, the transaction may have been applied, or may
   * still be applied later.
   */
  public void transaction(
      Transaction transaction, RequestPriority priority, Consumer<Transaction.Result> handler) {
    JsonNode body =
        keySpace.isRoot() && !transaction.hasAbsoluteKey()
            ? transaction.body()
            : keySpace.toStored(transaction.body());
    send(
        Request.post(priority, transaction.operationCount(), StateProtocol.TRANSACTION, body),
        response -> {
          if (indicatesTooLarge(response.status(), transaction)) {
            limits.lowerAfterRefusal(transaction);
          }
          handler.accept(responseReader.transactionResult(response));
        });
  }

  /**
   * Returns true if this status means that the transaction was refused because it is too large.
   * Status 400 (malformed) means this only if the transaction attaches no key to a lease; otherwise
   * the lease may have ended.
   */
  private static boolean indicatesTooLarge(int status, Transaction transaction) {
    return status == HttpStatus.PAYLOAD_TOO_LARGE
        || (status == HttpStatus.BAD_REQUEST && !transaction.isAttachedToLease());
  }

  /**
   * Creates a lease of the state service.
   *
   * @param handler receives the lease id, or an empty value if the request failed or had no
   *     response
   */
  public void createLease(long ttlMicros, Consumer<OptionalLong> handler) {
    send(
        Request.urgentPost(
            StateProtocol.LEASES, Json.object().put(StateProtocol.TTL_MS, ttlMicros / 1_000)),
        response -> handler.accept(responseReader.leaseId(response)));
  }

  /** Renews a lease of the state service. */
  public void renewLease(long leaseId, Consumer<RenewalResult> handler) {
    send(
        Request.urgentPost(leasePath(leaseId) + StateProtocol.RENEW_SUFFIX, Json.object()),
        response -> handler.accept(responseReader.renewalResult(response)));
  }

  /** Revokes a lease immediately; the keys attached to it are deleted. */
  public void revokeLease(long leaseId) {
    send(Request.urgentDelete(leasePath(leaseId)), response -> {});
  }

  private static String leasePath(long leaseId) {
    return StateProtocol.LEASES + "/" + leaseId;
  }

  /**
   * Requests the changes of keys under a prefix that were made after a revision.
   *
   * @param waitMicros how long the state service may hold the request open until the first change
   */
  public void watch(String prefix, long since, long waitMicros, Consumer<WatchResponse> handler) {
    String path =
        StateProtocol.WATCH_BY_PREFIX
            + keySpace.toStored(prefix)
            + StateProtocol.AFTER_PARAMETER
            + since
            + StateProtocol.WAIT_MS_PARAMETER
            + waitMicros / 1_000;
    send(
        Request.get(RequestPriority.URGENT, path, waitMicros + TIMEOUT_MICROS),
        response -> handler.accept(responseReader.watchResponse(response, prefix, since)));
  }

  private void send(Request request, Consumer<StateResponse> handler) {
    if (!budget.tryAdmit(request.priority(), request.operations(), loop.nowMicros())) {
      metrics.countFailedCall("state", HttpStatus.TOO_MANY_REQUESTS);
      loop.after(0, () -> handler.accept(StateResponse.withoutBody(HttpStatus.TOO_MANY_REQUESTS)));
      return;
    }
    byte[] bytes =
        request.body().map(body -> Json.write(body).getBytes(StandardCharsets.UTF_8)).orElse(null);
    httpClient.call(
        endpoint,
        request.method(),
        request.path(),
        bytes,
        request.timeoutMicros(),
        (status, data) -> {
          metrics.countFailedCall("state", status);
          availability.requestEnded(status, loop.nowMicros());
          handler.accept(toResponse(request, status, data));
        });
  }

  private StateResponse toResponse(Request request, int status, byte[] data) {
    if ((status == HttpStatus.OK || status == HttpStatus.CONFLICT) && data.length > 0) {
      try {
        return new StateResponse(status, Optional.of(Json.parseObject(data)));
      } catch (InvalidMessageException e) {
        unexpectedResponses.report(request.method(), request.path(), e.getMessage());
        return StateResponse.withoutBody(status == HttpStatus.OK ? 0 : status);
      }
    }
    if (status == HttpStatus.BAD_REQUEST) {
      unexpectedResponses.report(
          request.method(), request.path(), new String(data, StandardCharsets.UTF_8));
    }
    return StateResponse.withoutBody(status);
  }
}
