package plumlever.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.store.TokenBucket;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ListedMachine;
import plumlever.wire.MachineType;
import plumlever.wire.ProtocolField;
import plumlever.wire.ProtocolPath;

/**
 * Client of the cloud API. A response that can't be parsed counts as no response. The callback of
 * each call runs exactly once, on the event loop.
 */
public final class CloudClient {
  /** Maximum number of machines in one rental request. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** Maximum number of machines in one return request. */
  public static final int MAX_MACHINES_PER_RETURN = 100;

  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final long TIMEOUT_MICROS = 4_000_000;
  private static final int MACHINES_PER_PAGE = 500;

  /** Fraction of the cloud's rate limit up to which this client sends requests. */
  private static final double RATE_LIMIT_FRACTION = 0.8;

  /**
   * Delay before the next page of a machine list is requested if requesting it now would exceed the
   * rate limit. A list of thousands of machines has more pages than the rate limit allows at once.
   */
  private static final long PAGE_PAUSE_MICROS = 400_000;

  /**
   * Number of requests below the rate limit that are kept available for rentals and returns while a
   * machine list is read.
   */
  private static final double REQUESTS_RESERVED_FOR_CHANGES = 2;

  private static final String NO_CAPACITY_TEXT = "capacity";

  /**
   * A response of the cloud API. The body is present only if it is a JSON object and the status is
   * one for which the body is read.
   */
  private record Response(int status, Optional<ObjectNode> body) {
    private boolean hasMachineIds() {
      return status == HttpStatus.OK
          && body.isPresent()
          && body.get().path(ProtocolField.MACHINE_IDS).isArray();
    }

    private JsonNode machineIds() {
      return body.orElseThrow().get(ProtocolField.MACHINE_IDS);
    }
  }

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final Endpoint endpoint;
  private final Metrics metrics;
  private final TokenBucket rateLimiter;
  private final Set<String> warnedSubjects = new HashSet<>();

  /** Creates a client that stays within the cloud's rate limit. */
  public CloudClient(
      EventLoop loop,
      HttpClient httpClient,
      Endpoint endpoint,
      PlatformConfiguration.CloudLimits limits,
      Metrics metrics) {
    this.metrics = metrics;
    this.loop = loop;
    this.httpClient = httpClient;
    this.endpoint = endpoint;
    this.rateLimiter = new TokenBucket(limits.rps() * RATE_LIMIT_FRACTION, loop.nowMicros());
  }

  /**
   * Reads the machine types and their prices.
   *
   * @param callback receives an empty result if the machine types can't be read now
   */
  public void listMachineTypes(Consumer<Optional<List<MachineType>>> callback) {
    send(
        "GET",
        ProtocolPath.MACHINE_TYPES,
        null,
        response -> callback.accept(machineTypes(response)));
  }

  private Optional<List<MachineType>> machineTypes(Response response) {
    if (response.status() != HttpStatus.OK || response.body().isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(MachineType.parseCatalog(response.body().get()));
    } catch (InvalidMessageException e) {
      warnOnce("machine types", e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Reads the complete list of machines, page by page.
   *
   * @param callback receives an empty result if some page of the list can't be read
   */
  public void listMachines(Consumer<Optional<List<ListedMachine>>> callback) {
    readPage("", new ArrayList<>(), callback);
  }

  /**
   * @param lastId id of the last machine on the previous page; empty for the first page
   */
  private void readPage(
      String lastId,
      List<ListedMachine> machines,
      Consumer<Optional<List<ListedMachine>>> callback) {
    if (!lastId.isEmpty()
        && !rateLimiter.canAcquire(1 + REQUESTS_RESERVED_FOR_CHANGES, loop.nowMicros())) {
      loop.after(PAGE_PAUSE_MICROS, () -> readPage(lastId, machines, callback));
      return;
    }
    send(
        "GET",
        ProtocolPath.MACHINES
            + "?page="
            + MACHINES_PER_PAGE
            + (lastId.isEmpty() ? "" : "&since=" + lastId),
        null,
        response -> handlePage(response, machines, callback));
  }

  private void handlePage(
      Response response,
      List<ListedMachine> machines,
      Consumer<Optional<List<ListedMachine>>> callback) {
    if (!response.hasMachineIds()) {
      callback.accept(Optional.empty());
      return;
    }
    String lastId = "";
    try {
      for (JsonNode node : response.machineIds()) {
        ListedMachine machine = ListedMachine.parse(node);
        lastId = machine.id();
        machines.add(machine);
      }
    } catch (InvalidMessageException e) {
      warnOnce("machine list", e.getMessage());
      callback.accept(Optional.empty());
      return;
    }
    boolean more = response.body().orElseThrow().path("more").asBoolean(false);
    if (more && !lastId.isEmpty()) {
      readPage(lastId, machines, callback);
    } else {
      callback.accept(Optional.of(machines));
    }
  }

  /**
   * Rents machines. If the outcome is unknown, the caller has to repeat the request with the same
   * id.
   */
  public void rentMachines(RentalRequest request, Consumer<RentalResult> callback) {
    ObjectNode body =
        Json.object()
            .put(ProtocolField.RENTAL_REQUEST, request.id())
            .put(ProtocolField.MACHINE_TYPE, request.machineType())
            .put(ProtocolField.ZONE, request.zone())
            .put(ProtocolField.SPOT, request.spot())
            .put(ProtocolField.COUNT, request.count());
    send("POST", ProtocolPath.MACHINES, body, response -> callback.accept(rentalResult(response)));
  }

  private static RentalResult rentalResult(Response response) {
    if (response.hasMachineIds()) {
      List<String> machineIds = new ArrayList<>();
      response.machineIds().forEach(id -> machineIds.add(id.asText()));
      return RentalResult.rented(machineIds);
    }
    return RentalResult.withoutMachines(
        switch (response.status()) {
          case HttpStatus.SERVICE_UNAVAILABLE ->
              reportsNoCapacity(response)
                  ? RentalResult.Outcome.NO_CAPACITY
                  : RentalResult.Outcome.REFUSED;
          case HttpStatus.TOO_MANY_REQUESTS, HttpStatus.BAD_REQUEST -> RentalResult.Outcome.REFUSED;
          default -> RentalResult.Outcome.UNKNOWN;
        });
  }

  private static boolean reportsNoCapacity(Response response) {
    return response.body().isPresent()
        && response.body().get().path("error").asText().contains(NO_CAPACITY_TEXT);
  }

  /**
   * Returns machines to the cloud.
   *
   * @param callback receives whether the machines have definitely been returned
   */
  public void returnMachines(List<String> machineIds, Consumer<ReturnOutcome> callback) {
    ObjectNode body = Json.object();
    ArrayNode ids = body.putArray(ProtocolField.MACHINE_IDS);
    machineIds.forEach(ids::add);
    send(
        "POST",
        ProtocolPath.RETURN_MACHINES,
        body,
        response ->
            callback.accept(
                response.status() == HttpStatus.OK
                    ? ReturnOutcome.RETURNED
                    : ReturnOutcome.UNKNOWN));
  }

  /**
   * Sends a request. A request that would exceed the rate limit is not sent; its callback receives
   * the status 429 that the cloud would return.
   */
  private void send(String method, String path, JsonNode body, Consumer<Response> callback) {
    if (!rateLimiter.tryAcquire(1, loop.nowMicros())) {
      metrics.countFailedCall("cloud", HttpStatus.TOO_MANY_REQUESTS);
      loop.after(
          0, () -> callback.accept(new Response(HttpStatus.TOO_MANY_REQUESTS, Optional.empty())));
      return;
    }
    byte[] bytes = body == null ? null : Json.write(body).getBytes(StandardCharsets.UTF_8);
    httpClient.call(
        endpoint,
        method,
        path,
        bytes,
        TIMEOUT_MICROS,
        (status, data) -> {
          metrics.countFailedCall("cloud", status);
          if (status == HttpStatus.BAD_REQUEST) {
            warnOnce(path, new String(data, StandardCharsets.UTF_8));
          }
          callback.accept(new Response(status, parsedBody(path, status, data)));
        });
  }

  private Optional<ObjectNode> parsedBody(String path, int status, byte[] data) {
    if (data.length == 0 || (status != HttpStatus.OK && status != HttpStatus.SERVICE_UNAVAILABLE)) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.parseObject(data));
    } catch (InvalidMessageException e) {
      warnOnce(path, e.getMessage());
      return Optional.empty();
    }
  }

  private void warnOnce(String subject, String reason) {
    if (warnedSubjects.add(subject)) {
      LOG.warn(
          "the cloud rejected the request for {} or sent an invalid response: {}", subject, reason);
    }
  }
}
