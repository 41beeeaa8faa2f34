package plumlever.cloud;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.settings.Tunables;
import plumlever.wire.Flavor;
import plumlever.wire.JobSpec;

/** The machine types and their current prices; empty until the catalogue has been read. */
public final class PriceBook {
  private final Map<String, Flavor> flavors = new LinkedHashMap<>();
  private final Map<String, Double> ownedHourly;

  public PriceBook(Tunables tunables) {
    this.ownedHourly = tunables.ownedHourly();
  }

  /** Takes in the machine types as the cloud lists them now. */
  public void update(List<Flavor> catalog) {
    for (Flavor flavor : catalog) {
      if (flavor.cores() > 0 && flavor.memoryGb() > 0) {
        flavors.put(flavor.sku(), flavor);
      }
    }
  }

  public boolean known() {
    return !flavors.isEmpty();
  }

  public Flavor flavor(String sku) {
    return flavors.get(sku);
  }

  public Collection<Flavor> flavors() {
    return flavors.values();
  }

  /** What an hour costs; owned types carry what the operator set. */
  public double hourly(Flavor flavor, boolean spot) {
    Double owned = ownedHourly.get(flavor.sku());
    return owned != null ? owned : flavor.hourly(spot);
  }

  /** True if some machine type that the job allows can hold one of its tasks. */
  public boolean fits(JobSpec job) {
    return flavors.values().stream()
        .anyMatch(
            f ->
                (job.flavors() == null || job.flavors().contains(f.sku()))
                    && (job.site() == null || f.sites().isEmpty() || f.sites().contains(job.site()))
                    && f.share(job) <= 1);
  }
}
