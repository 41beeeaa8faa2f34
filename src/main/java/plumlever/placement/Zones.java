package plumlever.placement;

import java.util.HashMap;
import java.util.Map;

/** A job's rules about zones, and how many of its tasks may still be on machines of each. */
public final class Zones {
  private final boolean oneZone;
  private final int maxTasksPerZone;
  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /**
   * The rules of a job of which no task is on a machine.
   *
   * @param oneZone whether all tasks must be in the same zone
   * @param maxTasksPerZone Integer.MAX_VALUE for any number
   */
  public Zones(boolean oneZone, int maxTasksPerZone) {
    this.oneZone = oneZone;
    this.maxTasksPerZone = maxTasksPerZone;
  }

  /** The rules of a job that may be anywhere. */
  public static Zones unrestricted() {
    return new Zones(false, Integer.MAX_VALUE);
  }

  /** Counts one task of the job in the zone. */
  public void add(String zone) {
    tasksByZone.merge(zone, 1, Integer::sum);
  }

  /** True if one more task of the job may be in the zone. */
  public boolean allows(String zone) {
    if (!oneZone && maxTasksPerZone == Integer.MAX_VALUE) {
      return true;
    }
    return !(oneZone && hasTasksOutside(zone))
        && tasksByZone.getOrDefault(zone, 0) < maxTasksPerZone;
  }

  private boolean hasTasksOutside(String zone) {
    return !tasksByZone.isEmpty() && !(tasksByZone.size() == 1 && tasksByZone.containsKey(zone));
  }
}
