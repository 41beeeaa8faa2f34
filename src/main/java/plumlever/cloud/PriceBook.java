package plumlever.cloud;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** The machine types and their current prices; empty until the catalogue has been read. */
public final class PriceBook {
  private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
  private final Map<String, Double> ownedHourly;

  public PriceBook(SchedulerParameters parameters) {
    this.ownedHourly = parameters.ownedHourly();
  }

  /** Takes in the machine types as the cloud lists them now. */
  public void update(List<MachineType> catalog) {
    for (MachineType machineType : catalog) {
      if (machineType.cores() > 0 && machineType.memoryGb() > 0) {
        machineTypes.put(machineType.name(), machineType);
      }
    }
  }

  public boolean isLoaded() {
    return !machineTypes.isEmpty();
  }

  public MachineType machineType(String typeName) {
    return machineTypes.get(typeName);
  }

  public Collection<MachineType> machineTypes() {
    return machineTypes.values();
  }

  /** What an hour costs; owned types carry what the operator set. */
  public double hourlyPrice(MachineType machineType, boolean spot) {
    Double owned = ownedHourly.get(machineType.name());
    return owned != null ? owned : machineType.hourlyPrice(spot);
  }

  /** True if some machine type that the job allows can hold one of its tasks. */
  public boolean canRun(JobSpec job) {
    return machineTypes.values().stream()
        .anyMatch(
            f ->
                (job.machineTypes() == null || job.machineTypes().contains(f.name()))
                    && (job.zone() == null || f.zones().isEmpty() || f.zones().contains(job.zone()))
                    && f.dominantShare(job) <= 1);
  }
}
