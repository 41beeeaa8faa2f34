package plumlever.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines on which tasks of one job have failed. A single failure is evidence against the
 * machine as a place for the job's tasks. Failures on several machines without a success anywhere
 * are evidence against the job.
 */
public final class FailureHistory {
  /** Time after which a failure is no longer evidence. */
  static final long FADE_MICROS = 600_000_000;

  /**
   * Time after the last failure during which the job's tasks wait for a machine on which none has
   * failed, although a machine on which one has failed has free capacity.
   */
  static final long MAX_WAIT_MICROS = 60_000_000;

  /** Number of machines on which a job must have failed before the job counts as the cause. */
  static final int JOB_SUSPECT_MIN_MACHINES = 3;

  private static final int MAX_MACHINES = 64;

  /** Times of the last failure by machine id, beginning with the earliest. */
  private final Map<String, Long> failedMicros = new LinkedHashMap<>();

  private long lastFailureMicros = Long.MIN_VALUE / 2;
  private boolean succeeded;

  /** Records that a task of the job failed on the machine. */
  void recordError(String machine, long nowMicros) {
    failedMicros.remove(machine);
    failedMicros.put(machine, nowMicros);
    lastFailureMicros = nowMicros;
    if (failedMicros.size() > MAX_MACHINES) {
      Iterator<String> machines = failedMicros.keySet().iterator();
      machines.next();
      machines.remove();
    }
  }

  /** Records that a task of the job completed on the machine. */
  void recordSuccess(String machine) {
    failedMicros.remove(machine);
    succeeded = true;
  }

  /** Returns the machines on which tasks of the job have failed lately. */
  public Set<String> machines(long nowMicros) {
    failedMicros.values().removeIf(failed -> nowMicros - failed > FADE_MICROS);
    return failedMicros.isEmpty() ? Set.of() : Set.copyOf(failedMicros.keySet());
  }

  /** True if a task of the job has failed on some machine. */
  public boolean hasAny() {
    return !failedMicros.isEmpty();
  }

  /** True if the job itself is probably the cause of its failures. */
  public boolean suspectsJob() {
    return !succeeded && failedMicros.size() >= JOB_SUSPECT_MIN_MACHINES;
  }

  /**
   * True if the job's tasks should wait for a machine on which none has failed, which may have to
   * be rented, instead of being tried again where one has failed.
   */
  public boolean worthWaiting(long nowMicros) {
    return !suspectsJob() && nowMicros - lastFailureMicros < MAX_WAIT_MICROS;
  }
}
