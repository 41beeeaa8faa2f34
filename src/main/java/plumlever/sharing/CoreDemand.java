package plumlever.sharing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Computes the cores that a shard needs for its jobs to meet their deadlines. */
public final class CoreDemand {
  /**
   * The remaining work of one job.
   *
   * @param tasks number of running and pending tasks
   * @param cores cores of one task
   * @param runMicros expected duration of one task with padding, including the image fetch
   * @param leftMicros time from now until the job should be done
   */
  public record RemainingWork(
      String team, int tasks, double cores, long runMicros, long leftMicros) {}

  private CoreDemand() {}

  /**
   * Returns the number of cores that must be in use all the time from now on for the jobs to meet
   * their deadlines. Tasks of a job that can run one after the other before the deadline share
   * cores. If less time is left than one task takes, all tasks of the job must run at once. The
   * cores counted for a team never exceed the team's limit.
   *
   * @param limits core limits by team, for teams that have one
   */
  public static double coresNeeded(List<RemainingWork> works, Map<String, Double> limits) {
    Map<String, Double> byTeam = new HashMap<>();
    for (RemainingWork work : works) {
      long sequentialRuns = Math.max(1, work.leftMicros() / Math.max(1, work.runMicros()));
      byTeam.merge(work.team(), work.tasks() * work.cores() / sequentialRuns, Double::sum);
    }
    double needed = 0;
    for (Map.Entry<String, Double> entry : byTeam.entrySet()) {
      needed += Math.min(entry.getValue(), limits.getOrDefault(entry.getKey(), Double.MAX_VALUE));
    }
    return needed;
  }
}
