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
 *
 * <p>Owned by the loop that it was made with: all methods are called there, and all answers come
 * there.
 */
public final class StateClient {
  /**
   * A key.
   *
   * @param data its value
   * @param leaseId the lease that it is attached to; 0 for none
   */
  public record Item(String key, JsonNode data, long revision, long leaseId) {}

  /**
   * What a read of one key brought.
   *
   * @param status 200, 404, or anything else for "not known"; 0 without an answer
   * @param foundItem the key, if it was found
   */
  public record ReadResult(int status, Optional<Item> foundItem) {
    /** True if the key exists. */
    public boolean found() {
      return status == HttpStatus.OK;
    }

    /** The key; only where it was {@link #found}. */
    public Item item() {
      return foundItem.orElseThrow();
    }

    /** True if the key surely does not exist. */
    public boolean missing() {
      return status == HttpStatus.NOT_FOUND;
    }
  }

  /** All keys under a prefix, as of a revision from which changes can be watched. */
  public record Listing(List<Item> items, long storeRevision) {}

  /**
   * One change of a key.
   *
   * @param value the new one, nothing when the key was deleted
   */
  public record KeyEvent(String key, Optional<JsonNode> value, long revision) {
    /** True if the key does not exist any more. */
    public boolean deleted() {
      return value.isEmpty();
    }

    /** The new value; only where the key was not {@link #deleted}. */
    public JsonNode data() {
      return value.orElseThrow();
    }
  }

  /**
   * What a watch brought.
   *
   * @param status 200, 410 when the revision to watch from was too old, else not known
   * @param storeRevision up to which {@code events} are complete
   */
  public record WatchResponse(int status, long storeRevision, List<KeyEvent> events) {
    /** True if the events are all there were; they may be none. */
    public boolean answered() {
      return status == HttpStatus.OK;
    }

    /** True if it can no longer be told what has changed since then: everything is read anew. */
    public boolean expired() {
      return status == HttpStatus.GONE;
    }
  }

  /** What became of a lease that was to be renewed. */
  public enum RenewalResult {
    /** It has its full time again. */
    RENEWED,
    /** It had ended, with the keys that were attached to it. */
    ENDED,
    /** No answer, or a refusal: it may have been renewed. */
    UNKNOWN
  }

  /** What happens to a request that is over this controller's part of the limits. */
  public enum RequestPriority {
    /** It is sent all the same, and paid for by later ordinary ones: for leadership and leases. */
    URGENT,
    /** It is refused at once with 429. */
    ORDINARY
  }

  /**
   * A request.
   *
   * @param operations how many puts and deletes it holds
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

  /** A prefix of no key. */
  private static final String EMPTY_PREFIX = "nothing/";

  private final Loop loop;
  private final Caller caller;
  private final Endpoint endpoint;
  private final Metrics metrics;
  private final KeySpace keySpace;
  private final StateAnswerReader answers;
  private final RequestBudget budget;
  private final ServiceAvailability availability;
  private final WriteLimits limits;
  private final UnexpectedAnswers unexpectedAnswers = new UnexpectedAnswers(LOG);

  /** A client that keeps within its part of the limits. */
  public StateClient(
      Loop loop,
      Caller caller,
      Endpoint endpoint,
      PlatformConfiguration.StateLimits limits,
      Metrics metrics) {
    this(loop, caller, endpoint, limits, metrics, KeySpace.ROOT);
  }

  /** A client whose keys are in that space. */
  public StateClient(
      Loop loop,
      Caller caller,
      Endpoint endpoint,
      PlatformConfiguration.StateLimits limits,
      Metrics metrics,
      KeySpace keySpace) {
    this.loop = loop;
    this.caller = caller;
    this.endpoint = endpoint;
    this.metrics = metrics;
    this.keySpace = keySpace;
    this.answers = new StateAnswerReader(keySpace);
    this.budget = new RequestBudget(limits, loop.nowMicros());
    this.availability = new ServiceAvailability(loop.nowMicros());
    this.limits = new WriteLimits(limits);
  }

  /** How much one write may hold. */
  public WriteLimits limits() {
    return limits;
  }

  /** This controller leads from now on, or does no more: a leader gets more of the writes. */
  public void setLeading(boolean leading) {
    budget.setLeading(leading, loop.nowMicros());
  }

  /** When the service last did anything but refuse this controller. */
  public long lastServedMicros() {
    return availability.lastServedMicros();
  }

  /**
   * How long every request has been refused or unanswered; 0 while the service serves this
   * controller. A quiet controller asks little, so silence alone is no sign.
   */
  public long refusedForMicros() {
    return availability.refusedForMicros(loop.nowMicros());
  }

  /** Reads one key. */
  public void get(String key, RequestPriority priority, Consumer<ReadResult> handler) {
    send(
        Request.get(priority, StateProtocol.KEYS + keySpace.toStored(key), TIMEOUT_MICROS),
        answer -> handler.accept(answers.readResult(answer, key)));
  }

  /**
   * Reads all keys under a prefix.
   *
   * @param handler takes nothing when they could not all be read
   */
  public void list(String prefix, RequestPriority priority, Consumer<Optional<Listing>> handler) {
    readPage(
        prefix,
        Optional.empty(),
        priority,
        page -> {
          if (page.isPresent()) {
            // Pages are read at different revisions; watching from the first one misses nothing in
            // between.
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
      Consumer<Optional<StateAnswerReader.Page>> handler) {
    String path =
        StateProtocol.KEYS_BY_PREFIX
            + keySpace.toStored(prefix)
            + StateProtocol.PAGE_SIZE_PARAMETER
            + PAGE_SIZE
            + afterStoredKey.map(key -> StateProtocol.AFTER_PARAMETER + key).orElse("");
    send(
        Request.get(priority, path, TIMEOUT_MICROS),
        answer -> handler.accept(answers.page(answer, prefix)));
  }

  /**
   * Reads the revision of the whole store.
   *
   * @param handler takes nothing when that can't be found out
   */
  public void storeRevision(Consumer<OptionalLong> handler) {
    String path =
        StateProtocol.KEYS_BY_PREFIX + EMPTY_PREFIX + StateProtocol.PAGE_SIZE_PARAMETER + 1;
    send(
        Request.get(RequestPriority.ORDINARY, path, TIMEOUT_MICROS),
        answer -> handler.accept(answers.storeRevision(answer)));
  }

  /** Sends a transaction; without an answer it may have been carried out, or may be later. */
  public void transaction(
      Transaction transaction, RequestPriority priority, Consumer<Transaction.Result> handler) {
    JsonNode body =
        keySpace.isRoot() && !transaction.namesAbsolute()
            ? transaction.body()
            : keySpace.toStored(transaction.body());
    send(
        Request.post(priority, transaction.operationCount(), StateProtocol.TRANSACTION, body),
        answer -> {
          if (tellsOfSize(answer.status(), transaction)) {
            limits.refused(transaction);
          }
          handler.accept(answers.transactionResult(answer));
        });
  }

  /** A transaction with a lease is malformed as well once that lease has ended. */
  private static boolean tellsOfSize(int status, Transaction transaction) {
    return status == HttpStatus.PAYLOAD_TOO_LARGE
        || (status == HttpStatus.BAD_REQUEST && !transaction.isAttachedToLease());
  }

  /**
   * Creates a lease.
   *
   * @param handler takes the lease id, or nothing when that failed or had no answer
   */
  public void createLease(long ttlMicros, Consumer<OptionalLong> handler) {
    send(
        Request.urgentPost(
            StateProtocol.LEASES, Json.object().put(StateProtocol.TTL_MS, ttlMicros / 1_000)),
        answer -> handler.accept(answers.leaseId(answer)));
  }

  /** Renews a lease. */
  public void renewLease(long leaseId, Consumer<RenewalResult> handler) {
    send(
        Request.urgentPost(leasePath(leaseId) + StateProtocol.RENEW_SUFFIX, Json.object()),
        answer -> handler.accept(answers.renewalResult(answer)));
  }

  /** Ends a lease at once; the keys that are attached to it are deleted. */
  public void revokeLease(long leaseId) {
    send(Request.urgentDelete(leasePath(leaseId)), answer -> {});
  }

  private static String leasePath(long leaseId) {
    return StateProtocol.LEASES + "/" + leaseId;
  }

  /**
   * Asks for the changes under a prefix since a revision.
   *
   * @param waitMicros how long the service may wait for the first change if there is none yet
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
        answer -> handler.accept(answers.watchResponse(answer, prefix, since)));
  }

  private void send(Request request, Consumer<StateAnswer> handler) {
    if (!budget.admits(request.priority(), request.operations(), loop.nowMicros())) {
      metrics.countRefusal("state", HttpStatus.TOO_MANY_REQUESTS);
      loop.after(0, () -> handler.accept(StateAnswer.withoutBody(HttpStatus.TOO_MANY_REQUESTS)));
      return;
    }
    byte[] bytes =
        request.body().map(body -> Json.write(body).getBytes(StandardCharsets.UTF_8)).orElse(null);
    caller.call(
        endpoint,
        request.method(),
        request.path(),
        bytes,
        request.timeoutMicros(),
        (status, data) -> {
          metrics.countRefusal("state", status);
          availability.requestEnded(status, loop.nowMicros());
          handler.accept(answer(request, status, data));
        });
  }

  private StateAnswer answer(Request request, int status, byte[] data) {
    if ((status == HttpStatus.OK || status == HttpStatus.CONFLICT) && data.length > 0) {
      try {
        return new StateAnswer(status, Optional.of(Json.parseObject(data)));
      } catch (InvalidMessageException e) {
        unexpectedAnswers.report(request.method(), request.path(), e.getMessage());
        return StateAnswer.withoutBody(status == HttpStatus.OK ? 0 : status);
      }
    }
    if (status == HttpStatus.BAD_REQUEST) {
      unexpectedAnswers.report(
          request.method(), request.path(), new String(data, StandardCharsets.UTF_8));
    }
    return StateAnswer.withoutBody(status);
  }
}
