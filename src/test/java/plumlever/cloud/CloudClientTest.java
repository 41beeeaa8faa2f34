package plumlever.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import plumlever.concurrent.EventLoop;
import plumlever.metrics.LoggerProvider;
import plumlever.metrics.Metrics;
import plumlever.settings.Endpoint;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.ListedMachine;
import plumlever.wire.MachineType;

/** Tests how the client interprets valid, invalid and missing responses of the cloud. */
final class CloudClientTest {
  private static final RentalRequest REQUEST = new RentalRequest("r-1-1", "small", "a", true, 2);

  /** An event loop with a stopped clock, which runs delayed actions immediately. */
  private static final EventLoop LOOP =
      new EventLoop() {
        @Override
        public long nowMicros() {
          return 0;
        }

        @Override
        public long wallMicros() {
          return 0;
        }

        @Override
        public Timer after(long delayMicros, Runnable action) {
          action.run();
          return () -> {};
        }

        @Override
        public void execute(Runnable action) {
          action.run();
        }
      };

  private record CannedResponse(int status, String body) {}

  private final Deque<CannedResponse> cannedResponses = new ArrayDeque<>();
  private final List<String> paths = new ArrayList<>();
  private final CloudClient client =
      new CloudClient(
          LOOP,
          (to, method, path, body, timeoutMicros, callback) -> {
            paths.add(method + " " + path);
            CannedResponse response = cannedResponses.remove();
            callback.handle(response.status(), response.body().getBytes(StandardCharsets.UTF_8));
          },
          new Endpoint("cloud", 1),
          new PlatformConfiguration.CloudLimits(10, 0),
          new Metrics(LoggerProvider.SERVICE));

  private void addResponse(int status, String body) {
    cannedResponses.add(new CannedResponse(status, body));
  }

  private RentalResult rent() {
    List<RentalResult> results = new ArrayList<>();
    client.rentMachines(REQUEST, results::add);
    assertEquals(1, results.size(), "each request must have exactly one result");
    return results.get(0);
  }

  private Optional<List<ListedMachine>> list() {
    List<Optional<List<ListedMachine>>> results = new ArrayList<>();
    client.listMachines(results::add);
    assertEquals(1, results.size(), "each request must have exactly one result");
    return results.get(0);
  }

  private static String page(boolean more, String... ids) {
    List<String> entries = new ArrayList<>();
    for (String id : ids) {
      entries.add(
          "{\"uid\":\""
              + id
              + "\",\"endpoint\":\"h:1\",\"flavor\":\"small\",\"site\":\"a\",\"loaners\":false,"
              + "\"status\":\"running\"}");
    }
    return "{\"hosts\":[" + String.join(",", entries) + "],\"more\":" + more + "}";
  }

  @Test
  void returnsIdsOfRentedMachines() {
    addResponse(200, "{\"hosts\":[\"i-1\",\"i-2\"]}");

    assertEquals(RentalResult.rented(List.of("i-1", "i-2")), rent());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "503 | {\"error\":\"no capacity\"} | NO_CAPACITY",
        "503 | {\"error\":\"down\"} | REFUSED",
        "503 | no JSON | REFUSED",
        "429 | {} | REFUSED",
        "400 | {} | REFUSED",
        "200 | {} | UNKNOWN",
        "200 | no JSON | UNKNOWN",
        "500 | {} | UNKNOWN",
        "0 | `` | UNKNOWN"
      })
  void otherResponsesShowWhetherMachinesMayHaveBeenRented(
      int status, String body, RentalResult.Outcome outcome) {
    addResponse(status, body);

    assertEquals(RentalResult.withoutMachines(outcome), rent());
  }

  @Test
  void readsListPageByPage() {
    addResponse(200, page(true, "i-1", "i-2"));
    addResponse(200, page(false, "i-3"));

    assertEquals(
        List.of("i-1", "i-2", "i-3"),
        list().orElseThrow().stream().map(ListedMachine::id).toList());
    assertEquals(List.of("GET /hosts?page=500", "GET /hosts?page=500&since=i-2"), paths);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {"503 | {}", "200 | {}", "200 | {\"hosts\":[{\"uid\":7}]}", "0 | ``"})
  void listWithUnreadablePageHasNoResult(int status, String body) {
    addResponse(200, page(true, "i-1"));
    addResponse(status, body);

    assertTrue(list().isEmpty());
  }

  @Test
  void readsMachineTypes() {
    addResponse(
        200,
        "{\"flavors\":[{\"sku\":\"small\",\"cores\":4,\"accelerators\":0,\"memory_gb\":16,"
            + "\"cache_gb\":8,\"fetch_gb_per_s\":1.0,\"hourly\":0.2,\"startup_s\":12}]}");
    List<Optional<List<MachineType>>> results = new ArrayList<>();

    client.listMachineTypes(results::add);

    assertEquals(
        List.of(
            Optional.of(
                List.of(new MachineType("small", 4, 0, 16, 8, 1, 0.2, 0.2, 12, List.of())))),
        results);
  }

  @ParameterizedTest
  @CsvSource({"503", "0", "200"})
  void unreadableMachineTypesHaveNoResult(int status) {
    addResponse(status, "{}");
    List<Optional<List<MachineType>>> results = new ArrayList<>();

    client.listMachineTypes(results::add);

    assertEquals(List.of(Optional.empty()), results);
  }

  @ParameterizedTest
  @CsvSource({"200, RETURNED", "503, UNKNOWN", "429, UNKNOWN", "0, UNKNOWN"})
  void onlyConfirmedReturnCountsAsReturned(int status, ReturnOutcome outcome) {
    addResponse(status, "{}");
    List<ReturnOutcome> results = new ArrayList<>();

    client.returnMachines(List.of("i-1"), results::add);

    assertEquals(List.of(outcome), results);
  }

  @Test
  void refusesRequestBeyondRateLimitWithoutCall() {
    for (int i = 0; i < 8; i++) {
      addResponse(429, "{}");
      rent();
    }

    assertEquals(RentalResult.withoutMachines(RentalResult.Outcome.REFUSED), rent());
    assertEquals(
        8,
        paths.size(),
        "the client must use at most 80 % of the rate limit of 10 requests per second");
  }
}
