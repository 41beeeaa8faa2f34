package plumlever.leader.scheduling;

import java.util.HashMap;
import java.util.Map;
import plumlever.leader.context.TermContext;
import plumlever.placement.MachineShape;
import plumlever.wire.MachineType;

/** The machine types of one snapshot as placement knows them, each made once. */
final class MachineShapes {
  /** Where only speed matters, so much memory counts as much as one core. */
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
   * Where only speed matters no machine is dearer than another for its size: what is left of the
   * score is the time that a task holds its share, with the image if it has to be fetched.
   */
  private double pricePerSecond(MachineType machineType, boolean spot) {
    return context.moneyMatters()
        ? context.prices().hourlyPrice(machineType, spot) / SECONDS_PER_HOUR
        : Math.max(machineType.cores(), machineType.memoryGb() / MEMORY_GB_PER_CORE);
  }
}
