package plumlever.sharing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How many processors a shard needs for its jobs to be in time. */
public final class CoreDemand {
  /**
   * What is left of one job.
   *
   * @param tasks that run or wait
   * @param runMicros what one takes, padded, with its image
   * @param leftMicros until the job should be done
   */
  public record Work(String team, int tasks, double cores, long runMicros, long leftMicros) {}

  private CoreDemand() {}

  /**
   * Processors that have to work all the time from now on. Tasks that can watch each other until
   * the deadline share theirs; with less time left than one takes, all have to run at once.
   *
   * @param limits of teams that have one
   */
  public static double coresNeeded(List<Work> works, Map<String, Double> limits) {
    Map<String, Double> byTeam = new HashMap<>();
    for (Work work : works) {
      long inARow = Math.max(1, work.leftMicros() / Math.max(1, work.runMicros()));
      byTeam.merge(work.team(), work.tasks() * work.cores() / inARow, Double::sum);
    }
    double needed = 0;
    for (Map.Entry<String, Double> entry : byTeam.entrySet()) {
      needed += Math.min(entry.getValue(), limits.getOrDefault(entry.getKey(), Double.MAX_VALUE));
    }
    return needed;
  }
}
