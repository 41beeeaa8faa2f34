package plumlever.fleet;

/** How well a machine runs tasks: its speed against its type, and whether it fails them. */
public final class MachineHealth {
  /** A single run may be off by chance: ratios beyond these bounds count as the bound. */
  private static final double MIN_RATIO = 0.5;

  private static final double MAX_RATIO = 6;
  private static final double MIN_SLOWNESS = 0.8;

  /** Weight of the last run in the moving average. */
  private static final double LAST_RUN_WEIGHT = 0.3;

  /** A single job that fails may be at fault itself. */
  private static final int FAILED_JOBS_OF_FAULTY = 2;

  private static final int ERRORS_OF_FAULTY = 3;

  private double slowness = 1;
  private int consecutiveErrors;
  private String lastErrorJob;
  private int failedJobs;

  /** Moving average of the observed run time over the planned one; 1 for nominal speed. */
  public double slowness() {
    return slowness;
  }

  /** A task took this many times the planned run time. */
  public void observeRunTime(double ratio) {
    double bounded = Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    slowness = Math.max(MIN_SLOWNESS, (1 - LAST_RUN_WEIGHT) * slowness + LAST_RUN_WEIGHT * bounded);
  }

  /**
   * A task of the job failed on the machine.
   *
   * @return true if tasks of several jobs have failed on it, so that the machine is faulty
   */
  public boolean recordError(String job) {
    consecutiveErrors++;
    if (!job.equals(lastErrorJob)) {
      lastErrorJob = job;
      failedJobs++;
    }
    return failedJobs >= FAILED_JOBS_OF_FAULTY && consecutiveErrors >= ERRORS_OF_FAULTY;
  }

  /** A task completed on it, so earlier errors do not count any more. */
  public void recordSuccess() {
    consecutiveErrors = 0;
    failedJobs = 0;
    lastErrorJob = null;
  }
}
