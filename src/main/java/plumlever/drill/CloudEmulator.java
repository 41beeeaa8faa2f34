package plumlever.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import java.util.function.Consumer;
import plumlever.http.Responder;
import plumlever.wire.HttpStatus;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * Emulates the protocol of the cloud. All machines are rented from the start, and further rentals
 * are refused for lack of capacity.
 */
final class CloudEmulator {
  /** The only machine type that the emulated cloud offers. */
  static final String TYPE = "plain-4";

  private static final String CATALOG =
      """
      {"flavors":[{"sku":"plain-4","cores":4,"accelerators":0,"memory_gb":16,"cache_gb":40,
      "fetch_gb_per_s":1.0,"hourly":0.2,"low_price":0.06,"startup_s":12,"sites":["a","b"]}]}
      """;

  private static final double AGE_S = 600;
  private static final int MAX_PAGE_SIZE = 500;

  private record RentedMachine(String endpoint, String zone) {}

  private final TreeMap<String, RentedMachine> machinesById = new TreeMap<>();
  private final Consumer<String> onReturn;
  private int returnedMachines;

  /**
   * @param onReturn called with each machine that is returned
   */
  CloudEmulator(Consumer<String> onReturn) {
    this.onReturn = onReturn;
  }

  void add(String machine, String endpoint, String zone) {
    machinesById.put(machine, new RentedMachine(endpoint, zone));
  }

  /** Returns the number of returned machines. */
  int returnedMachines() {
    return returnedMachines;
  }

  void handle(String method, String target, byte[] body, Responder out) {
    if (target.equals("/catalog")) {
      out.send(HttpStatus.OK, CATALOG);
    } else if (target.startsWith("/hosts?")) {
      out.send(HttpStatus.OK, list(Query.of(target)));
    } else if (target.equals("/hosts")) {
      out.send(HttpStatus.SERVICE_UNAVAILABLE, "{\"error\":\"no capacity\"}");
    } else if (target.equals("/hosts/return")) {
      handleReturn(body, out);
    } else {
      out.error(HttpStatus.NOT_FOUND, "no such path");
    }
  }

  private void handleReturn(byte[] body, Responder out) {
    try {
      for (JsonNode machine : Json.parseObject(body).path("hosts")) {
        if (machinesById.remove(machine.asText()) != null) {
          returnedMachines++;
          onReturn.accept(machine.asText());
        }
      }
      out.send(HttpStatus.OK, "{}");
    } catch (InvalidMessageException e) {
      out.error(HttpStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private String list(Query query) {
    ObjectNode response = Json.object();
    ArrayNode listed = response.putArray("hosts");
    boolean more = false;
    for (var entry : machinesById.tailMap(query.text("since"), false).entrySet()) {
      more = listed.size() == query.number("page", MAX_PAGE_SIZE);
      if (more) {
        break;
      }
      listed
          .addObject()
          .put("uid", entry.getKey())
          .put("endpoint", entry.getValue().endpoint())
          .put("flavor", TYPE)
          .put("site", entry.getValue().zone())
          .put("loaners", false)
          .put("status", "running")
          .put("age_s", AGE_S);
    }
    return Json.write(response.put("more", more));
  }
}
