package plumlever.fleet;

/** How well a machine runs tasks: its speed against its type, and whether it fails them. */
public final class MachineHealth {
  /** One run may be off by chance: ratios beyond these count as these. */
  private static final double LEAST_RATIO = 0.5;

  private static final double MOST_RATIO = 6;
  private static final double LEAST_SLOWNESS = 0.8;

  /** How much the last run counts against all before. */
  private static final double LAST_RUN_WEIGHT = 0.3;

  /** One job that fails may be the job's own mistake. */
  private static final int FAILED_JOBS_OF_FAULTY = 2;

  private static final int ERRORS_OF_FAULTY = 3;

  private double slowness = 1;
  private int errorStreak;
  private String lastErrorJob;
  private int failedJobs;

  /** Observed run time over the planned one; 1 for a machine as fast as its type. */
  public double slowness() {
    return slowness;
  }

  /** A task took this many times the planned run time. */
  public void observeRunTime(double ratio) {
    double bounded = Math.max(LEAST_RATIO, Math.min(MOST_RATIO, ratio));
    slowness =
        Math.max(LEAST_SLOWNESS, (1 - LAST_RUN_WEIGHT) * slowness + LAST_RUN_WEIGHT * bounded);
  }

  /**
   * A task of the job failed on the machine.
   *
   * @return true if tasks of several jobs have failed on it, so that the machine is faulty
   */
  public boolean recordError(String job) {
    errorStreak++;
    if (!job.equals(lastErrorJob)) {
      lastErrorJob = job;
      failedJobs++;
    }
    return failedJobs >= FAILED_JOBS_OF_FAULTY && errorStreak >= ERRORS_OF_FAULTY;
  }

  /** A task completed on it, so earlier errors count for less. */
  public void recordSuccess() {
    errorStreak = 0;
    failedJobs = 0;
    lastErrorJob = null;
  }
}
