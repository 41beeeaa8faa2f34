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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * Emulates the cloud provider with two machine types and two zones. The list of machines lags
 * behind the actual state, and requests can be refused because of a rate limit, an outage or
 * missing capacity.
 */
final class FakeCloud implements SimulatedNetwork.Service {
  static final long LIST_LAG_MICROS = 3_000_000;
  private static final double REQUESTS_PER_S = 6;
  private static final int PAGE_SIZE = 500;
  private static final Pattern SINCE = Pattern.compile("since=([^&]+)");
  private static final String CATALOG =
      """
      {"flavors":[
      {"sku":"small","cores":4,"accelerators":0,"memory_gb":16,"cache_gb":40,"fetch_gb_per_s":1.0,"hourly":0.2,"low_price":0.06,"startup_s":12,"sites":["a","b"]},
      {"sku":"large","cores":16,"accelerators":0,"memory_gb":64,"cache_gb":40,"fetch_gb_per_s":0.5,"hourly":0.9,"low_price":0.3,"startup_s":8,"sites":["a","b"]}]}
      """;

  static double coresOf(String machineType) {
    return machineType.equals("small") ? 4 : 16;
  }

  /** A rented machine. */
  static final class Vm {
    final String id;
    final String machineType;
    final String zone;
    final boolean spot;
    final long rentedMicros;
    FakeWorker worker;
    boolean dead;

    Vm(String id, String machineType, String zone, boolean spot, long rentedMicros) {
      this.id = id;
      this.machineType = machineType;
      this.zone = zone;
      this.spot = spot;
      this.rentedMicros = rentedMicros;
    }
  }

  private final SimulatedCluster cluster;
  final TreeMap<String, Vm> machines = new TreeMap<>();
  private final Map<String, List<String>> machineIdsByRental = new HashMap<>();
  private final List<Object[]> listSnapshots = new ArrayList<>();
  private int lastMachineNumber;
  boolean outage;

  /** True if requests beyond the rate limit are refused with 429 and counted. */
  boolean limitsRate;

  int requestsRefused;
  private double tokens = 2 * REQUESTS_PER_S;
  private long refilledMicros;

  /**
   * Share of rental and deletion requests that get no answer and are carried out 2 to 62 s late.
   */
  double executedLateShare;

  /** Number of rental and deletion requests carried out late. */
  int executedLate;

  /** True if rented machines boot within two seconds instead of 5 to 20 s. */
  boolean fastBoots;

  int capacity = 14;

  /** Zones in which the cloud has no machines to rent. */
  final Set<String> exhaustedZones = new HashSet<>();

  FakeCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
    cluster.at(1, this::recordListSnapshot);
  }

  private void recordListSnapshot() {
    ArrayNode list = Json.object().putArray("hosts");
    for (Vm vm : machines.values()) {
      list.addObject()
          .put("uid", vm.id)
          .put("endpoint", cluster.workerEndpoint.apply(vm.id).toString())
          .put("flavor", vm.machineType)
          .put("site", vm.zone)
          .put("loaners", vm.spot)
          .put("status", vm.worker == null ? "booting" : "running")
          .put("age_s", (cluster.now() - vm.rentedMicros) / 1e6);
    }
    listSnapshots.add(new Object[] {cluster.now(), list});
    listSnapshots.removeIf(h -> (Long) h[0] < cluster.now() - 3 * LIST_LAG_MICROS);
    cluster.at(500_000, this::recordListSnapshot);
  }

  @Override
  public void handle(
      String from, String method, String path, String body, SimulatedNetwork.Reply reply) {
    if (outage) {
      reply.send(503, "{\"error\":\"trouble\"}");
      return;
    }
    if (cluster.now() > refilledMicros) {
      tokens =
          Math.min(
              2 * REQUESTS_PER_S, tokens + (cluster.now() - refilledMicros) * REQUESTS_PER_S / 1e6);
      refilledMicros = cluster.now();
    }
    if (limitsRate && tokens < 1) {
      requestsRefused++;
      reply.send(429, "{}");
      return;
    }
    tokens--;
    if (path.equals("/catalog")) {
      reply.send(200, CATALOG);
    } else if (path.startsWith("/hosts?")) {
      long listedAtMicros =
          cluster.now() - LIST_LAG_MICROS - cluster.random.nextLong(LIST_LAG_MICROS);
      ArrayNode listed = Json.object().putArray("hosts");
      for (Object[] snapshot : listSnapshots) {
        if ((Long) snapshot[0] <= listedAtMicros) {
          listed = (ArrayNode) snapshot[1];
        }
      }
      reply.send(200, Json.write(page(listed, path)));
    } else if (executedLateShare > 0
        && method.equals("POST")
        && cluster.random.nextDouble() < executedLateShare) {
      executedLate++;
      cluster.at(
          2_000_000 + cluster.random.nextLong(60_000_000),
          () -> change(path, body, (status, answer) -> {}));
    } else {
      change(path, body, reply);
    }
  }

  /** Carries out a request to rent or delete machines. */
  private void change(String path, String body, SimulatedNetwork.Reply reply) {
    try {
      if (path.equals("/hosts")) {
        rent(Json.parseObject(body), reply);
      } else if (path.equals("/hosts/return")) {
        Json.parseObject(body).path("hosts").forEach(h -> delete(h.asText()));
        reply.send(200, "{}");
      } else {
        reply.send(404, "{}");
      }
    } catch (InvalidMessageException e) {
      reply.send(400, "{}");
    }
  }

  private static ObjectNode page(ArrayNode listed, String path) {
    Matcher since = SINCE.matcher(path);
    String from = since.find() ? since.group(1) : "";
    ObjectNode out = Json.object();
    ArrayNode listedMachines = out.putArray("hosts");
    boolean more = false;
    for (JsonNode machine : listed) {
      if (machine.path("uid").asText().compareTo(from) > 0) {
        more = listedMachines.size() == PAGE_SIZE;
        if (more) {
          break;
        }
        listedMachines.add(machine);
      }
    }
    return out.put("more", more);
  }

  /** Adds machines that already run, without requests to the cloud. */
  void addRunningMachines(int count) {
    for (int i = 0; i < count; i++) {
      String id = String.format("i-%06d", ++lastMachineNumber);
      Vm vm =
          new Vm(
              id,
              i % 4 == 0 ? "large" : "small",
              i % 2 == 0 ? "a" : "b",
              i % 3 == 0,
              cluster.now() - 60_000_000);
      machines.put(id, vm);
      vm.worker = new FakeWorker(cluster, vm);
    }
  }

  private void rent(ObjectNode object, SimulatedNetwork.Reply reply) {
    String rental = object.path("rental").asText();
    if (!machineIdsByRental.containsKey(rental)) {
      List<String> machineIds = new ArrayList<>();
      for (int i = 0; i < object.path("count").asInt() && hasCapacity(object); i++) {
        Vm vm =
            new Vm(
                String.format("i-%06d", ++lastMachineNumber),
                object.path("flavor").asText(),
                object.path("site").asText(),
                object.path("loaners").asBoolean(),
                cluster.now());
        machines.put(vm.id, vm);
        machineIds.add(vm.id);
        // One machine in 25 never boots.
        if (cluster.random.nextInt(25) > 0) {
          cluster.at(
              fastBoots
                  ? cluster.random.nextLong(2_000_000)
                  : 5_000_000 + cluster.random.nextLong(15_000_000),
              () -> {
                if (machines.get(vm.id) == vm) {
                  vm.worker = new FakeWorker(cluster, vm);
                }
              });
        }
      }
      if (machineIds.isEmpty()) {
        reply.send(503, "{\"error\":\"no capacity\"}");
        return;
      }
      machineIdsByRental.put(rental, machineIds);
    }
    ObjectNode out = Json.object();
    ArrayNode array = out.putArray("hosts");
    machineIdsByRental.get(rental).forEach(array::add);
    reply.send(200, Json.write(out));
  }

  /**
   * True if the cloud can rent out another machine of the requested type, zone and spot setting.
   * Each of the eight combinations of these three properties gets an eighth of the capacity.
   */
  private boolean hasCapacity(ObjectNode object) {
    long rented =
        machines.values().stream()
            .filter(
                v ->
                    v.machineType.equals(object.path("flavor").asText())
                        && v.zone.equals(object.path("site").asText())
                        && v.spot == object.path("loaners").asBoolean())
            .count();
    return !exhaustedZones.contains(object.path("site").asText())
        && rented < Math.max(1, Math.round(capacity / 8.0));
  }

  /** Returns the number of workers that send their heartbeats to the controller. */
  int countWorkersSendingTo(String controller) {
    return (int)
        machines.values().stream()
            .filter(v -> v.worker != null && v.worker.heartbeatsTo(controller))
            .count();
  }

  /** Deletes the machine and everything that runs on it. */
  void delete(String id) {
    Vm vm = machines.remove(id);
    if (vm != null && vm.worker != null) {
      vm.worker.terminate();
    }
  }
}
