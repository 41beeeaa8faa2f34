package plumlever.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import plumlever.store.TokenBucket;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.ListedMachine;
import plumlever.wire.MachineType;
import plumlever.wire.ProtocolField;
import plumlever.wire.ProtocolPath;

/** The cloud's client. Answers that can't be understood count as no answer. */
public final class CloudClient {
  /** What became of a rental request. */
  public enum RentalOutcome {
    RENTED,
    NO_CAPACITY,
    REFUSED,
    UNKNOWN
  }

  /** Takes the answer to a rental request; {@code machineIds} is empty unless it was filled. */
  public interface RentalListener {
    void onAnswer(RentalOutcome outcome, List<String> machineIds);
  }

  public static final int MAX_MACHINES_PER_RENTAL = 50;
  public static final int MAX_MACHINES_PER_RETURN = 100;

  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final long TIMEOUT_MICROS = 4_000_000;
  private static final int PAGE = 500;
  private static final double PART = 0.8;

  /**
   * Pause before the next page of a list goes out that was over the rate: a list of thousands of
   * machines has more pages than the rate allows at once.
   */
  private static final long PAGE_PAUSE_MICROS = 400_000;

  /** Requests left to rentals and returns while a list is read. */
  private static final double LEFT_TO_OTHERS = 2;

  private final Loop loop;
  private final Caller caller;
  private final Endpoint endpoint;
  private final Metrics metrics;
  private final TokenBucket requests;
  private final Map<String, Long> surprises = new HashMap<>();

  /** A client that keeps within the cloud's rate limit. */
  public CloudClient(
      Loop loop,
      Caller caller,
      Endpoint endpoint,
      PlatformConfiguration.CloudLimits limits,
      Metrics metrics) {
    this.metrics = metrics;
    this.loop = loop;
    this.caller = caller;
    this.endpoint = endpoint;
    this.requests = new TokenBucket(limits.rps() * PART, loop.nowMicros());
  }

  /**
   * @param then takes null when the catalogue can't be had now
   */
  public void listMachineTypes(Consumer<List<MachineType>> then) {
    send(
        "GET",
        ProtocolPath.MACHINE_TYPES,
        null,
        (status, o) -> {
          List<MachineType> machineTypes = null;
          if (status == HttpStatus.OK && o != null) {
            try {
              machineTypes = MachineType.parseCatalog(o);
            } catch (InvalidMessageException e) {
              warnOnce("catalog", e.getMessage());
            }
          }
          then.accept(machineTypes);
        });
  }

  /**
   * @param then takes null when the list can't be had whole
   */
  public void listMachines(Consumer<List<ListedMachine>> then) {
    page(null, new ArrayList<>(), then);
  }

  private void page(String since, List<ListedMachine> into, Consumer<List<ListedMachine>> then) {
    if (since != null && !requests.has(1 + LEFT_TO_OTHERS, loop.nowMicros())) {
      loop.after(PAGE_PAUSE_MICROS, () -> page(since, into, then));
      return;
    }
    send(
        "GET",
        ProtocolPath.MACHINES + "?page=" + PAGE + (since == null ? "" : "&since=" + since),
        null,
        (status, o) -> {
          if (status != HttpStatus.OK
              || o == null
              || !o.path(ProtocolField.MACHINE_IDS).isArray()) {
            then.accept(null);
            return;
          }
          String last = null;
          try {
            for (JsonNode node : o.get(ProtocolField.MACHINE_IDS)) {
              ListedMachine listedMachine = ListedMachine.parse(node);
              last = listedMachine.id();
              into.add(listedMachine);
            }
          } catch (InvalidMessageException e) {
            warnOnce(ProtocolField.MACHINE_IDS, e.getMessage());
            then.accept(null);
            return;
          }
          if (o.path("more").asBoolean(false) && last != null) {
            page(last, into, then);
          } else {
            then.accept(into);
          }
        });
  }

  /** Rents machines of one kind under a request name that is never used for anything else. */
  public void rentMachines(
      String name, String machineType, String zone, boolean spot, int count, RentalListener then) {
    ObjectNode body =
        Json.object()
            .put(ProtocolField.RENTAL_REQUEST, name)
            .put(ProtocolField.MACHINE_TYPE, machineType)
            .put(ProtocolField.ZONE, zone)
            .put(ProtocolField.SPOT, spot)
            .put(ProtocolField.COUNT, count);
    send(
        "POST",
        ProtocolPath.MACHINES,
        body,
        (status, o) -> {
          List<String> machineIds = new ArrayList<>();
          if (status == HttpStatus.OK && o != null && o.path(ProtocolField.MACHINE_IDS).isArray()) {
            o.get(ProtocolField.MACHINE_IDS).forEach(h -> machineIds.add(h.asText()));
            then.onAnswer(RentalOutcome.RENTED, machineIds);
          } else if (status == HttpStatus.UNAVAILABLE
              && o != null
              && o.path("error").asText().contains("capacity")) {
            then.onAnswer(RentalOutcome.NO_CAPACITY, machineIds);
          } else if (status == HttpStatus.UNAVAILABLE
              || status == HttpStatus.TOO_MANY_REQUESTS
              || status == HttpStatus.BAD_REQUEST) {
            then.onAnswer(RentalOutcome.REFUSED, machineIds);
          } else {
            then.onAnswer(RentalOutcome.UNKNOWN, machineIds);
          }
        });
  }

  /**
   * @param then takes true when the machines are surely gone
   */
  public void returnMachines(List<String> machineIds, Consumer<Boolean> then) {
    ObjectNode body = Json.object();
    ArrayNode names = body.putArray(ProtocolField.MACHINE_IDS);
    machineIds.forEach(names::add);
    send(
        "POST",
        ProtocolPath.RETURN_MACHINES,
        body,
        (status, o) -> then.accept(status == HttpStatus.OK));
  }

  private interface Parsed {
    void take(int status, ObjectNode body);
  }

  private void send(String method, String path, JsonNode body, Parsed then) {
    if (!requests.take(1, loop.nowMicros())) {
      metrics.countRefusal("cloud", HttpStatus.TOO_MANY_REQUESTS);
      loop.after(0, () -> then.take(HttpStatus.TOO_MANY_REQUESTS, null));
      return;
    }
    byte[] bytes = body == null ? null : Json.write(body).getBytes(StandardCharsets.UTF_8);
    caller.call(
        endpoint,
        method,
        path,
        bytes,
        TIMEOUT_MICROS,
        (status, data) -> {
          metrics.countRefusal("cloud", status);
          ObjectNode parsed = null;
          if (data.length > 0 && (status == HttpStatus.OK || status == HttpStatus.UNAVAILABLE)) {
            try {
              parsed = Json.parseObject(data);
            } catch (InvalidMessageException e) {
              warnOnce(path, e.getMessage());
            }
          }
          if (status == HttpStatus.BAD_REQUEST) {
            warnOnce(path, new String(data, StandardCharsets.UTF_8));
          }
          then.take(status, parsed);
        });
  }

  private void warnOnce(String kind, String what) {
    if (surprises.merge(kind, 1L, Long::sum) == 1) {
      LOG.warn("cloud gave a surprising answer to {}: {}", kind, what);
    }
  }
}
