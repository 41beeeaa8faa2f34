package plumlever.placement;

import java.util.HashMap;
import java.util.Map;

/** A job's rules about zones, given its tasks that may still be on a machine. */
public final class Zones {
  private final boolean oneZone;
  private final int limit;
  private final Map<String, Integer> tasks = new HashMap<>();

  /**
   * @param limit the most tasks in one zone
   */
  public Zones(boolean oneZone, int limit) {
    this.oneZone = oneZone;
    this.limit = limit;
  }

  /** The rules of a job that has none. */
  public static Zones unrestricted() {
    return new Zones(false, Integer.MAX_VALUE);
  }

  public void add(String zone) {
    tasks.merge(zone, 1, Integer::sum);
  }

  /** True if one more task of the job may be in the zone. */
  public boolean allows(String zone) {
    if (!oneZone && limit == Integer.MAX_VALUE) {
      return true;
    }
    if (oneZone && !tasks.isEmpty() && !(tasks.size() == 1 && tasks.containsKey(zone))) {
      return false;
    }
    return tasks.getOrDefault(zone, 0) < limit;
  }
}
