package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A machine type, as the cloud's catalogue lists it. */
public record Flavor(
    String sku,
    double cores,
    double accelerators,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double hourly,
    double lowPrice,
    double startupS,
    List<String> sites) {

  public static List<Flavor> parseCatalog(ObjectNode body) throws InvalidMessage {
    JsonNode array = body.get("flavors");
    if (array == null || !array.isArray()) {
      throw new InvalidMessage("flavors must be a list");
    }
    List<Flavor> out = new ArrayList<>();
    for (JsonNode f : array) {
      List<String> sites = new ArrayList<>();
      JsonNode s = f.get("sites");
      if (s != null && s.isArray()) {
        s.forEach(x -> sites.add(x.asText()));
      }
      double hourly = Json.amount(f, "hourly", 0);
      out.add(
          new Flavor(
              Json.text(f, "sku"),
              Json.amount(f, "cores", 0),
              Json.amount(f, "accelerators", 0),
              Json.amount(f, "memory_gb", 0),
              Json.amount(f, "cache_gb", 0),
              Json.amount(f, "fetch_gb_per_s", 0),
              hourly,
              Json.absent(f, "low_price") ? hourly : Json.amount(f, "low_price", 0),
              Json.amount(f, "startup_s", 0),
              List.copyOf(sites)));
    }
    return List.copyOf(out);
  }

  public double hourly(boolean spot) {
    return spot ? lowPrice : hourly;
  }

  /** The largest share of a machine of this type that one task takes; above 1 it does not fit. */
  public double share(JobSpec job) {
    double share = Math.max(job.cores() / cores, job.memoryGb() / memoryGb);
    if (job.accelerators() > 0) {
      share = Math.max(share, accelerators > 0 ? job.accelerators() / accelerators : 2);
    }
    return share;
  }
}
