package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A machine type, as the cloud's catalogue lists it. */
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

  /** Reads the cloud's machine types. */
  public static List<MachineType> parseCatalog(ObjectNode body) throws InvalidMessageException {
    JsonNode array = body.get(ProtocolField.MACHINE_TYPES);
    if (array == null || !array.isArray()) {
      throw new InvalidMessageException(ProtocolField.MACHINE_TYPES + " must be a list");
    }
    List<MachineType> out = new ArrayList<>();
    for (JsonNode node : array) {
      List<String> zones = new ArrayList<>();
      JsonNode zone = node.get(ProtocolField.ZONES);
      if (zone != null && zone.isArray()) {
        zone.forEach(x -> zones.add(x.asText()));
      }
      double hourlyPrice = Json.amount(node, "hourly", 0);
      out.add(
          new MachineType(
              Json.text(node, ProtocolField.MACHINE_TYPE_NAME),
              Json.amount(node, "cores", 0),
              Json.amount(node, "accelerators", 0),
              Json.amount(node, "memory_gb", 0),
              Json.amount(node, "cache_gb", 0),
              Json.amount(node, "fetch_gb_per_s", 0),
              hourlyPrice,
              Json.absent(node, ProtocolField.SPOT_PRICE)
                  ? hourlyPrice
                  : Json.amount(node, ProtocolField.SPOT_PRICE, 0),
              Json.amount(node, "startup_s", 0),
              List.copyOf(zones)));
    }
    return List.copyOf(out);
  }

  public double hourlyPrice(boolean spot) {
    return spot ? spotPrice : hourlyPrice;
  }

  /** The largest share of a machine of this type that one task takes; above 1 it does not fit. */
  public double dominantShare(JobSpec job) {
    double dominantShare = Math.max(job.cores() / cores, job.memoryGb() / memoryGb);
    if (job.accelerators() > 0) {
      dominantShare =
          Math.max(dominantShare, accelerators > 0 ? job.accelerators() / accelerators : 2);
    }
    return dominantShare;
  }
}
