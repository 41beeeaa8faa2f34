package plumlever.leader.scheduling;

import plumlever.fleet.Attempt;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.TermContext;
import plumlever.wire.MachineType;

/** How long tasks are expected to run, and when attempts are expected to end. */
final class ExpectedTimes {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Between two jobs of a dependency chain: a heartbeat, the record, a pass and a command. */
  private static final long STAGE_HANDOVER_MICROS = 1_500_000;

  /** The ends of other shards' tasks are not known here. */
  private static final long FOREIGN_TASK_STAY_MICROS = 60_000_000;

  /** Part of the time that an attempt has run which it is expected to need beyond its estimate. */
  private static final long OVERRUN_DIVISOR = 5;

  private static final long MIN_OVERRUN_MICROS = 1_000_000;

  private final TermContext context;
  private final RunTimeEstimates estimates;

  ExpectedTimes(TermContext context, RunTimeEstimates estimates) {
    this.context = context;
    this.estimates = estimates;
  }

  /** So many seconds in whole microseconds. */
  static long micros(double seconds) {
    return (long) (seconds * MICROS_PER_SECOND);
  }

  /** Run time of one task of the job on a machine of nominal speed. */
  long runMicros(Job job) {
    return estimates.runMicros(job);
  }

  /** The same with the safety margin for wrong estimates. */
  long paddedRunMicros(Job job) {
    return (long) (estimates.runMicros(job) * paddingFactor());
  }

  /**
   * What a task of the job takes from its release on, padded, with the fetch of its image: what it
   * leaves the jobs that it depends on.
   */
  long costMicros(Job job) {
    double fetchMicros = 0;
    int types = 0;
    for (MachineType machineType : context.prices().machineTypes()) {
      if (machineType.fetchGbPerS() > 0
          && (job.spec().machineTypes() == null
              || job.spec().machineTypes().contains(machineType.name()))) {
        fetchMicros += job.spec().imageGb() / machineType.fetchGbPerS() * MICROS_PER_SECOND;
        types++;
      }
    }
    long averageFetchMicros = types == 0 ? 0 : (long) (fetchMicros / types);
    return paddedRunMicros(job) + averageFetchMicros + STAGE_HANDOVER_MICROS;
  }

  /** When an attempt that is not over should free its place on a machine of this type. */
  long endMicros(Attempt attempt, MachineType machineType, long nowMicros) {
    if (attempt.stopping()) {
      return nowMicros + micros(attempt.job().spec().checkpointS());
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
            ? micros(attempt.job().spec().imageGb() / machineType.fetchGbPerS())
            : 0;
    return Math.max(nowMicros, attempt.sentMicros() + fetchMicros) + runMicros;
  }

  /**
   * A task past its estimate may take any time; the longer it has run, the longer it is expected to
   * run on.
   */
  private static long overdueEndMicros(Attempt attempt, long nowMicros) {
    return nowMicros
        + (nowMicros - attempt.runningSinceMicros()) / OVERRUN_DIVISOR
        + MIN_OVERRUN_MICROS;
  }

  /** Until when other shards' tasks on a machine are taken to hold their place. */
  long foreignTasksEndMicros(long nowMicros) {
    return nowMicros + FOREIGN_TASK_STAY_MICROS;
  }

  /** When the last task that is on the machine should have ended; now for an idle machine. */
  long idleMicros(Machine machine, long nowMicros) {
    MachineType machineType = context.prices().machineType(machine.machineType());
    long idleMicros =
        machine.load().foreignTasks().tasks() > 0 ? foreignTasksEndMicros(nowMicros) : nowMicros;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over() && machineType != null) {
        idleMicros = Math.max(idleMicros, endMicros(attempt, machineType, nowMicros));
      }
    }
    return idleMicros;
  }

  private double paddingFactor() {
    return 1 + context.parameters().paddingShare();
  }
}
