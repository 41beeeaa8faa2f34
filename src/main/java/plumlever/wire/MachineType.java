package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param cacheGb the capacity of the image cache
 * @param fetchGbPerS the rate at which a machine fetches images; 0 if fetching takes no time
 * @param hourlyPrice the price per hour of a regular machine
 * @param spotPrice the price per hour of a spot machine
 * @param startupS the approximate time from the rental of a machine to its first heartbeat
 * @param zones the zones in which the type can be rented; empty for all zones
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

  /**
   * Value of the dominant share (the largest fraction of any single resource of the machine that a
   * task uses) if a task needs accelerators and the machine type has none. A task fits only if its
   * dominant share is at most 1.
   */
  private static final double NO_FIT = 2;

  /**
   * Parses the cloud's list of machine types with their prices, or the output of {@link
   * #writeCatalog}.
   */
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
        Json.isAbsent(node, ProtocolField.SPOT_PRICE)
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

  /** Encodes the machine types in the form of the cloud's list. */
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

  /** The price per hour of a spot machine or of a regular machine. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotPrice : hourlyPrice;
  }

  /**
   * The dominant share of a task of the job: the largest fraction of any single resource of the
   * machine that the task uses. The task does not fit if the dominant share exceeds 1.
   */
  public double dominantShare(JobSpec job) {
    double share = Math.max(job.cores() / cores, job.memoryGb() / memoryGb);
    if (job.accelerators() > 0) {
      share = Math.max(share, accelerators > 0 ? job.accelerators() / accelerators : NO_FIT);
    }
    return share;
  }
}
