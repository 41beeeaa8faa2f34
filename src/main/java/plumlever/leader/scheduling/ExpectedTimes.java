package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.TermContext;
import plumlever.wire.MachineType;

/** Estimates how long tasks run and when attempts end. */
final class ExpectedTimes {
  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * Delay between the end of a job and the start of a dependent job: a heartbeat, the write of the
   * job record, a scheduling pass and a start command.
   */
  private static final long DEPENDENCY_DELAY_MICROS = 1_500_000;

  /**
   * Assumed remaining run time of foreign tasks (tasks of other shards), whose estimates are not
   * known to this shard.
   */
  private static final long FOREIGN_TASK_REMAINING_MICROS = 60_000_000;

  /**
   * An attempt that has run for longer than its estimated run time is expected to run for another
   * 1/5 of its run time so far.
   */
  private static final long OVERRUN_DIVISOR = 5;

  private static final long MIN_OVERRUN_MICROS = 1_000_000;

  private final TermContext context;
  private final RunTimeEstimates estimates;

  ExpectedTimes(TermContext context, RunTimeEstimates estimates) {
    this.context = context;
    this.estimates = estimates;
  }

  /** Converts seconds to whole microseconds. */
  static long secondsToMicros(double seconds) {
    return (long) (seconds * MICROS_PER_SECOND);
  }

  /** Estimated run time of one task of the job on a machine of nominal speed. */
  long runMicros(Job job) {
    return estimates.runMicros(job);
  }

  /** Estimated run time of one task of the job, with a safety margin for estimation errors. */
  long paddedRunMicros(Job job) {
    return (long) (estimates.runMicros(job) * paddingFactor());
  }

  /**
   * Estimated time from a job's release to the end of its tasks: padded run time, average image
   * fetch time and dependency delay. The dependencies of the job have to end this long before the
   * time by which the job itself has to end.
   */
  long durationMicros(Job job) {
    double fetchMicros = 0;
    int types = 0;
    for (MachineType machineType : context.typeCatalog().machineTypes()) {
      if (machineType.fetchGbPerS() > 0
          && (job.spec().machineTypes() == null
              || job.spec().machineTypes().contains(machineType.name()))) {
        fetchMicros += job.spec().imageGb() / machineType.fetchGbPerS() * MICROS_PER_SECOND;
        types++;
      }
    }
    long averageFetchMicros = types == 0 ? 0 : (long) (fetchMicros / types);
    return paddedRunMicros(job) + averageFetchMicros + DEPENDENCY_DELAY_MICROS;
  }

  /**
   * Estimates the time at which a live attempt releases its resources on a machine of the given
   * type.
   */
  long endMicros(Attempt attempt, MachineType machineType, long nowMicros) {
    if (attempt.stopping()) {
      return nowMicros + secondsToMicros(attempt.job().spec().checkpointS());
    }
    long runMicros =
        (long)
            (estimates.runMicros(attempt.job())
                * attempt.machine().health().slowness()
                * paddingFactor());
    if (attempt.running() && attempt.runningSinceMicros() >= 0) {
      long endMicros = attempt.runningSinceMicros() + runMicros;
      return endMicros > nowMicros ? endMicros : overdueEndMicros(attempt, nowMicros);
    }
    long fetchMicros =
        machineType.fetchGbPerS() > 0
            ? secondsToMicros(attempt.job().spec().imageGb() / machineType.fetchGbPerS())
            : 0;
    return Math.max(nowMicros, attempt.startSentMicros() + fetchMicros) + runMicros;
  }

  /**
   * Estimates the end of an attempt that has exceeded its estimate. The expected remaining time
   * grows with the time that the attempt has run.
   */
  private static long overdueEndMicros(Attempt attempt, long nowMicros) {
    return nowMicros
        + (nowMicros - attempt.runningSinceMicros()) / OVERRUN_DIVISOR
        + MIN_OVERRUN_MICROS;
  }

  /**
   * Time at which the foreign tasks (tasks of other shards) on a machine are assumed to release
   * their resources.
   */
  long foreignTasksEndMicros(long nowMicros) {
    return nowMicros + FOREIGN_TASK_REMAINING_MICROS;
  }

  /**
   * Estimates the time at which the last task on the machine ends. Returns the current time for an
   * idle machine.
   */
  long idleMicros(Machine machine, long nowMicros) {
    MachineType machineType = context.typeCatalog().machineType(machine.machineType());
    long idleMicros =
        machine.load().foreignTasks().tasks() > 0 ? foreignTasksEndMicros(nowMicros) : nowMicros;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.hasEnded() && machineType != null) {
        idleMicros = Math.max(idleMicros, endMicros(attempt, machineType, nowMicros));
      }
    }
    return idleMicros;
  }

  private double paddingFactor() {
    return 1 + context.parameters().runTimePadding();
  }
}
