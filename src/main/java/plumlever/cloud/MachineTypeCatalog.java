package plumlever.cloud;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** The machine types and their prices; empty until they have been loaded. */
public final class MachineTypeCatalog {
  private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
  private final Map<String, Double> ownedHourlyCosts;

  /** Creates an empty catalog. */
  public MachineTypeCatalog(SchedulerParameters parameters) {
    this.ownedHourlyCosts = parameters.ownedHourlyCosts();
  }

  /**
   * Adds or replaces the listed machine types. Machine types that are no longer listed are kept.
   */
  public void update(List<MachineType> listed) {
    for (MachineType machineType : listed) {
      if (machineType.cores() > 0 && machineType.memoryGb() > 0) {
        machineTypes.put(machineType.name(), machineType);
      }
    }
  }

  /** True once machine types have been loaded. */
  public boolean isLoaded() {
    return !machineTypes.isEmpty();
  }

  /** The machine type with this name, or null if unknown. */
  public MachineType machineType(String typeName) {
    return machineTypes.get(typeName);
  }

  /** All known machine types. */
  public Collection<MachineType> machineTypes() {
    return machineTypes.values();
  }

  /**
   * The price of the machine type per hour. For machine types that the operator owns, the
   * configured price.
   */
  public double hourlyPrice(MachineType machineType, boolean spot) {
    Double owned = ownedHourlyCosts.get(machineType.name());
    return owned != null ? owned : machineType.hourlyPrice(spot);
  }

  /** True if some machine type that the job allows can run one of the job's tasks. */
  public boolean canRun(JobSpec job) {
    return machineTypes.values().stream()
        .anyMatch(
            machineType ->
                (job.machineTypes() == null || job.machineTypes().contains(machineType.name()))
                    && (job.zone() == null
                        || machineType.zones().isEmpty()
                        || machineType.zones().contains(job.zone()))
                    && machineType.dominantShare(job) <= 1);
  }
}
