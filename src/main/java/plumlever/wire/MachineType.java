package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type of the cloud.
 *
 * @param cacheGb capacity of the image cache
 * @param fetchGbPerS rate at which a machine fetches images; 0 if fetching takes no time
 * @param hourlyPrice price of an hour
 * @param spotPrice price of an hour as a spot machine
 * @param startupS about how long a machine takes from rental to its first heartbeat
 * @param zones where it can be rented; empty for everywhere
 */
public record MachineType(
    String name,
    double cores,
    double accelerators,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double hourlyPrice,
    double spotPrice,
    double startupS,
    List<String> zones) {

  /** The share of a task that needs accelerators on a machine that has none: it does not fit. */
  private static final double NO_FIT = 2;

  /** Reads the cloud's machine types, or those that {@link #writeCatalog} has written. */
  public static List<MachineType> parseCatalog(ObjectNode body) throws InvalidMessageException {
    JsonNode array = body.get(ProtocolField.MACHINE_TYPES);
    if (array == null || !array.isArray()) {
      throw new InvalidMessageException(ProtocolField.MACHINE_TYPES + " must be a list");
    }
    List<MachineType> machineTypes = new ArrayList<>();
    for (JsonNode node : array) {
      machineTypes.add(parse(node));
    }
    return List.copyOf(machineTypes);
  }

  private static MachineType parse(JsonNode node) throws InvalidMessageException {
    double hourlyPrice = Json.amount(node, ProtocolField.HOURLY_PRICE, 0);
    return new MachineType(
        Json.text(node, ProtocolField.MACHINE_TYPE_NAME),
        Json.amount(node, ProtocolField.CORES, 0),
        Json.amount(node, ProtocolField.ACCELERATORS, 0),
        Json.amount(node, ProtocolField.MEMORY_GB, 0),
        Json.amount(node, ProtocolField.CACHE_GB, 0),
        Json.amount(node, ProtocolField.FETCH_GB_PER_S, 0),
        hourlyPrice,
        Json.absent(node, ProtocolField.SPOT_PRICE)
            ? hourlyPrice
            : Json.amount(node, ProtocolField.SPOT_PRICE, 0),
        Json.amount(node, ProtocolField.STARTUP_S, 0),
        zones(node));
  }

  private static List<String> zones(JsonNode node) {
    List<String> zones = new ArrayList<>();
    JsonNode array = node.get(ProtocolField.ZONES);
    if (array != null && array.isArray()) {
      array.forEach(zone -> zones.add(zone.asText()));
    }
    return List.copyOf(zones);
  }

  /** The machine types in the form in which the cloud lists them. */
  public static ObjectNode writeCatalog(List<MachineType> machineTypes) {
    ObjectNode catalog = Json.object();
    ArrayNode array = catalog.putArray(ProtocolField.MACHINE_TYPES);
    machineTypes.forEach(machineType -> machineType.write(array.addObject()));
    return catalog;
  }

  private void write(ObjectNode node) {
    node.put(ProtocolField.MACHINE_TYPE_NAME, name)
        .put(ProtocolField.CORES, cores)
        .put(ProtocolField.ACCELERATORS, accelerators)
        .put(ProtocolField.MEMORY_GB, memoryGb)
        .put(ProtocolField.CACHE_GB, cacheGb)
        .put(ProtocolField.FETCH_GB_PER_S, fetchGbPerS)
        .put(ProtocolField.HOURLY_PRICE, hourlyPrice)
        .put(ProtocolField.SPOT_PRICE, spotPrice)
        .put(ProtocolField.STARTUP_S, startupS);
    ArrayNode array = node.putArray(ProtocolField.ZONES);
    zones.forEach(array::add);
  }

  /** What an hour costs, as a spot machine or not. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotPrice : hourlyPrice;
  }

  /** The largest share of any resource of the machine that one task takes; above 1 it can't fit. */
  public double dominantShare(JobSpec job) {
    double share = Math.max(job.cores() / cores, job.memoryGb() / memoryGb);
    if (job.accelerators() > 0) {
      share = Math.max(share, accelerators > 0 ? job.accelerators() / accelerators : NO_FIT);
    }
    return share;
  }
}
