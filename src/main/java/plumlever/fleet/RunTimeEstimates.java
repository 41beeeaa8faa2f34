package plumlever.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * How far owners' estimates are off, by class of jobs; on some days they are mostly too high or too
 * low.
 */
public final class RunTimeEstimates {
  private static final double LEAST_RATIO = 0.2;
  private static final double MOST_RATIO = 5;
  private static final long LEAST_RUN_MICROS = 100_000;

  private static final double WEIGHT = 0.08;

  private final Map<String, Double> ratios = new HashMap<>();

  public void observeRatio(String jobClass, double ratio) {
    double bounded = Math.max(LEAST_RATIO, Math.min(MOST_RATIO, ratio));
    ratios.merge(jobClass, bounded, (old, seen) -> old * (1 - WEIGHT) + seen * WEIGHT);
  }

  /** What an earlier leader found. */
  public void adoptRatio(String jobClass, double ratio) {
    ratios.putIfAbsent(jobClass, Math.max(LEAST_RATIO, Math.min(MOST_RATIO, ratio)));
  }

  public Map<String, Double> ratios() {
    return ratios;
  }

  public double ratio(String jobClass) {
    return ratios.getOrDefault(jobClass, 1.0);
  }

  /** Run time to plan with for a task of the job, on a machine of nominal speed. */
  public long runMicros(Job job) {
    double ratio = job.runTimeRatio(ratio(job.spec().jobClass()));
    return Math.max(LEAST_RUN_MICROS, (long) (job.spec().expectedRunS() * 1e6 * ratio));
  }
}
