package plumlever.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The health of a machine: its speed relative to the nominal speed of its type, and its task
 * failures.
 */
public final class MachineHealth {
  /**
   * Lower bound for the ratio of observed to planned run time of a single run. Ratios are clamped,
   * because a single run may be an outlier.
   */
  private static final double MIN_RATIO = 0.5;

  private static final double MAX_RATIO = 6;
  private static final double MIN_SLOWNESS = 0.8;

  /** Weight of the latest run in the exponential moving average of run-time ratios. */
  private static final double LAST_RUN_WEIGHT = 0.3;

  /**
   * Number of different jobs that must have failed tasks on a machine before the machine counts as
   * faulty. Failures of a single job may be caused by the job itself.
   */
  private static final int FAULTY_MIN_FAILED_JOBS = 2;

  private static final int FAULTY_MIN_ERRORS = 3;

  /** Number of jobs whose errors are remembered; more than are needed to find a machine faulty. */
  private static final int MAX_FAILED_JOBS = 16;

  private double slowness = 1;

  /** Errors since the last success by job, beginning with the job that failed first. */
  private final Map<Job, Integer> errorsByJob = new LinkedHashMap<>();

  /**
   * Exponential moving average of observed run time divided by planned run time of the tasks on
   * this machine; 1 at nominal speed, higher if the machine is slower.
   */
  public double slowness() {
    return slowness;
  }

  /** Adds the ratio of a task's observed run time to its planned run time. */
  public void observeRunTime(double ratio) {
    double bounded = Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    slowness = Math.max(MIN_SLOWNESS, (1 - LAST_RUN_WEIGHT) * slowness + LAST_RUN_WEIGHT * bounded);
  }

  /**
   * Records that a task of the job failed on the machine.
   *
   * @return true if the machine is faulty, because tasks of several jobs have failed on it. Jobs
   *     that are probably the cause of their failures do not count.
   */
  public boolean recordError(Job job) {
    errorsByJob.merge(job, 1, Integer::sum);
    if (errorsByJob.size() > MAX_FAILED_JOBS) {
      Iterator<Job> jobs = errorsByJob.keySet().iterator();
      jobs.next();
      jobs.remove();
    }
    int failedJobs = 0;
    int errors = 0;
    for (Map.Entry<Job, Integer> entry : errorsByJob.entrySet()) {
      if (!entry.getKey().failures().suspectsJob()) {
        failedJobs++;
        errors += entry.getValue();
      }
    }
    return failedJobs >= FAULTY_MIN_FAILED_JOBS && errors >= FAULTY_MIN_ERRORS;
  }

  /** Records that a task completed on the machine, which resets the machine's count of errors. */
  public void recordSuccess() {
    errorsByJob.clear();
  }
}
