package plumlever.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * The zone constraints of a job, and the number of the job's tasks in each zone. Tasks for which
 * there is no proof that they have ended are counted too.
 */
public final class Zones {
  private final boolean oneZone;
  private final int maxTasksPerZone;
  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /**
   * Creates the constraints of a job that has no tasks on machines.
   *
   * @param oneZone whether all tasks must run in the same zone
   * @param maxTasksPerZone limit per zone; Integer.MAX_VALUE for no limit
   */
  public Zones(boolean oneZone, int maxTasksPerZone) {
    this.oneZone = oneZone;
    this.maxTasksPerZone = maxTasksPerZone;
  }

  /** Returns the constraints of a job whose tasks may run in any zone. */
  public static Zones unrestricted() {
    return new Zones(false, Integer.MAX_VALUE);
  }

  /** Counts one more task of the job in the zone. */
  public void add(String zone) {
    tasksByZone.merge(zone, 1, Integer::sum);
  }

  /** True if one more task of the job may run in the zone. */
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
