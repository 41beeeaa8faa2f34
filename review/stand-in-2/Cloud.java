import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud of PROTOCOL-plumlever.md: rents machines, each with a worker. */
final class Cloud implements Net.Handler {
  /** A machine type with its capacity in each zone; all machines are ordinary ones. */
  record Type(
      String name, double cores, double memoryGb, double bootS, List<String> zones, int perZone) {}

  private final Map<String, Type> types = new HashMap<>();
  private final TreeMap<String, Worker> workers = new TreeMap<>();
  private final Map<String, List<String>> rentals = new HashMap<>();
  private final Worker.World world;
  /** Zones in which the cloud has no machine to give. */
  final Set<String> exhausted = ConcurrentHashMap.newKeySet();

  private int counter;

  Cloud(List<Type> types, Worker.World world) {
    types.forEach(type -> this.types.put(type.name, type));
    this.world = world;
  }

  synchronized List<Worker> workers() {
    return new ArrayList<>(workers.values());
  }

  /** Adds a machine that is up at the start. */
  synchronized Worker add(String type, String zone, double bootS) {
    String name = String.format("i-%06d", ++counter);
    try {
      Worker worker = new Worker(name, types.get(type), zone, bootS, world);
      workers.put(name, worker);
      return worker;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public synchronized Net.Answer handle(
      String method, String path, Map<String, String> query, byte[] body) {
    if (path.equals("/catalog")) {
      return catalog();
    } else if (path.equals("/hosts/return")) {
      for (JsonNode name : Net.parse(body).path("hosts")) {
        Worker worker = workers.remove(name.asText());
        if (worker != null) {
          Net.log("machine %s is returned", worker.name);
          worker.end();
        }
      }
      return new Net.Answer(200, "{}");
    } else if (method.equals("POST")) {
      return rent(Net.parse(body));
    }
    return list(query);
  }

  private Net.Answer catalog() {
    ArrayNode flavors = Net.array();
    for (Type type : types.values()) {
      ObjectNode flavor =
          flavors
              .addObject()
              .put("sku", type.name)
              .put("cores", type.cores)
              .put("accelerators", 0)
              .put("memory_gb", type.memoryGb)
              .put("cache_gb", 50)
              .put("fetch_gb_per_s", 1.0)
              .put("hourly", type.cores * 0.04)
              .put("low_price", type.cores * 0.015)
              .put("startup_s", type.bootS);
      type.zones.forEach(flavor.putArray("sites")::add);
    }
    ObjectNode answer = Net.object();
    answer.set("flavors", flavors);
    return Net.answer(200, answer);
  }

  private Net.Answer rent(JsonNode request) {
    String id = request.path("rental").asText();
    List<String> names = rentals.get(id);
    if (names == null) {
      Type type = types.get(request.path("flavor").asText());
      String zone = request.path("site").asText();
      long used =
          workers.values().stream()
              .filter(worker -> worker.type == type && worker.zone.equals(zone))
              .count();
      int count = (int) Math.min(request.path("count").asInt(), type.perZone - used);
      if (request.path("loaners").asBoolean() || count <= 0 || exhausted.contains(zone)) {
        return Net.answer(503, Net.object().put("error", "no capacity"));
      }
      names = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        names.add(add(type.name, zone, type.bootS).name);
      }
      rentals.put(id, names);
      Net.log("rental %s: %d of %s in %s: %s", id, count, type.name, zone, names);
    }
    ObjectNode answer = Net.object();
    names.forEach(answer.putArray("hosts")::add);
    return Net.answer(200, answer);
  }

  private Net.Answer list(Map<String, String> query) {
    ArrayNode hosts = Net.array();
    for (Worker worker : workers.tailMap(query.getOrDefault("since", ""), false).values()) {
      double age = Net.now() - worker.rentedAt;
      if (age >= 3.0 || worker.bootS == 0) {
        hosts
            .addObject()
            .put("uid", worker.name)
            .put("endpoint", worker.endpoint)
            .put("flavor", worker.type.name())
            .put("site", worker.zone)
            .put("loaners", false)
            .put("status", age < worker.bootS ? "booting" : "running")
            .put("age_s", age);
      }
    }
    ObjectNode answer = Net.object().put("more", false);
    answer.set("hosts", hosts);
    return Net.answer(200, answer);
  }
}
