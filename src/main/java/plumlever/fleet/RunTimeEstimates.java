package plumlever.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * The ratio of actual to estimated task run time per job class. The owners' estimates for a class
 * tend to be wrong in the same direction.
 */
public final class RunTimeEstimates {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MIN_RATIO = 0.2;
  private static final double MAX_RATIO = 5;
  private static final long MIN_RUN_MICROS = 100_000;

  /** Weight of the latest run in the exponential moving average of run-time ratios. */
  private static final double LAST_RUN_WEIGHT = 0.08;

  private final Map<String, Double> ratios = new HashMap<>();

  /**
   * Includes the run of one task in the average of its job class: the ratio of its actual run time
   * to the run time that the job's owner estimated.
   */
  public void observeRatio(String jobClass, double ratio) {
    ratios.merge(
        jobClass,
        bounded(ratio),
        (average, last) -> average * (1 - LAST_RUN_WEIGHT) + last * LAST_RUN_WEIGHT);
  }

  /**
   * Takes over the ratio of actual to estimated run time that an earlier leader stored for the
   * class. Has no effect if this leader already has a ratio for the class.
   */
  public void adoptRatio(String jobClass, double ratio) {
    ratios.putIfAbsent(jobClass, bounded(ratio));
  }

  private static double bounded(double ratio) {
    return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
  }

  /** The known ratios of actual to estimated task run time, by job class. */
  public Map<String, Double> ratios() {
    return ratios;
  }

  /**
   * Returns the moving average of actual divided by estimated task run time of the class; 1 if no
   * ratio is known.
   */
  public double ratio(String jobClass) {
    return ratios.getOrDefault(jobClass, 1.0);
  }

  /** Estimates the run time of a task of the job on a machine of nominal speed, in microseconds. */
  public long runMicros(Job job) {
    double ratio = job.runTimeRatio(ratio(job.spec().jobClass()));
    return Math.max(MIN_RUN_MICROS, (long) (job.spec().expectedRunS() * MICROS_PER_SECOND * ratio));
  }
}
