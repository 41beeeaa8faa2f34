package plumlever.leader.scheduling;

import java.util.HashMap;
import java.util.Map;
import plumlever.leader.context.TermContext;
import plumlever.placement.MachineShape;
import plumlever.wire.MachineType;

/**
 * Caches the shapes (resources and price) of the machines in one snapshot by machine type and spot
 * flag.
 */
final class MachineShapes {
  /**
   * Gigabytes of memory that count as much as one core in the size of a machine, which replaces the
   * price when only speed matters.
   */
  private static final double MEMORY_GB_PER_CORE = 4;

  private static final double SECONDS_PER_HOUR = 3600;

  private final TermContext context;
  private final Map<String, MachineShape> spotByType = new HashMap<>();
  private final Map<String, MachineShape> onDemandByType = new HashMap<>();

  MachineShapes(TermContext context) {
    this.context = context;
  }

  MachineShape of(MachineType machineType, boolean spot) {
    Map<String, MachineShape> byType = spot ? spotByType : onDemandByType;
    MachineShape shape = byType.get(machineType.name());
    if (shape == null) {
      shape =
          new MachineShape(
              machineType.name(),
              spot,
              machineType.cores(),
              machineType.accelerators(),
              machineType.memoryGb(),
              pricePerSecond(machineType, spot));
      byType.put(machineType.name(), shape);
    }
    return shape;
  }

  /**
   * Price per second, or a measure of machine size if only speed matters. The size measure gives
   * all machines the same price per resource, so placement scores depend only on the time for which
   * a task holds its share of the machine, including a necessary image fetch.
   */
  private double pricePerSecond(MachineType machineType, boolean spot) {
    return context.costMatters()
        ? context.typeCatalog().hourlyPrice(machineType, spot) / SECONDS_PER_HOUR
        : Math.max(machineType.cores(), machineType.memoryGb() / MEMORY_GB_PER_CORE);
  }
}
