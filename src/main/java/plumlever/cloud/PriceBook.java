package plumlever.cloud;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** The machine types and their current prices; empty until they have been read once. */
public final class PriceBook {
  private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
  private final Map<String, Double> ownedHourly;

  /** An empty price book. */
  public PriceBook(SchedulerParameters parameters) {
    this.ownedHourly = parameters.ownedHourly();
  }

  /** Takes in the machine types as listed now; types not listed any more stay known. */
  public void update(List<MachineType> listed) {
    for (MachineType machineType : listed) {
      if (machineType.cores() > 0 && machineType.memoryGb() > 0) {
        machineTypes.put(machineType.name(), machineType);
      }
    }
  }

  /** True once machine types have been read. */
  public boolean isLoaded() {
    return !machineTypes.isEmpty();
  }

  /** The machine type of that name, or null where it is not known. */
  public MachineType machineType(String typeName) {
    return machineTypes.get(typeName);
  }

  /** All known machine types. */
  public Collection<MachineType> machineTypes() {
    return machineTypes.values();
  }

  /** What an hour of the machine type costs; for owned types, what the operator has set. */
  public double hourlyPrice(MachineType machineType, boolean spot) {
    Double owned = ownedHourly.get(machineType.name());
    return owned != null ? owned : machineType.hourlyPrice(spot);
  }

  /** True if some machine type that the job allows can hold one of its tasks. */
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
