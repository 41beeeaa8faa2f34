package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.placement.ResourceRequest;
import plumlever.placement.Zones;
import plumlever.wire.MachineType;
import plumlever.wire.Priority;

/**
 * Frees capacity for tasks that would otherwise miss their goals by stopping tasks of jobs with
 * lower priority. Only tasks that write checkpoints are stopped, which limits the lost work, and
 * only after {@link #MIN_RUN_MICROS} of run time.
 */
final class Preemption {
  /**
   * Minimum run time before preemption. A task stopped earlier would have made too little progress
   * to justify its start.
   */
  private static final long MIN_RUN_MICROS = 35_000_000;

  /**
   * Time from the decision to preempt until the leader knows that the capacity is free: the stop
   * command goes out with the next heartbeat response, and the heartbeat after that response
   * reports the result.
   */
  private static final long COMMAND_MICROS = 3_000_000;

  /**
   * Margin in seconds between the expected end of a task's checkpoint and the end of its grace
   * period.
   */
  private static final double STOP_MARGIN_S = 2;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final MachineAvailability availability;
  private final JobGoals goals;

  Preemption(TermContext context, Fleet fleet, MachineAvailability availability, JobGoals goals) {
    this.context = context;
    this.log = context.loggerProvider().of(Preemption.class);
    this.fleet = fleet;
    this.availability = availability;
    this.goals = goals;
  }

  /**
   * Tasks on one machine whose preemption makes room for one task.
   *
   * @param goalsMissed number of these tasks whose jobs would miss their finish goals
   * @param readyMicros time at which the new task could run on the machine
   */
  private record Option(
      Machine machine, List<Attempt> victims, int goalsMissed, long readyMicros) {}

  /** Starts preemption for the tasks of one job, which should start by the given time. */
  Search search(Job job, ResourceRequest request, long startByMicros, long nowMicros) {
    return new Search(job, request, startByMicros, nowMicros);
  }

  /**
   * Preempts for the tasks of one job, one task at a time. The fleet is searched once, on the first
   * call.
   */
  final class Search {
    private final Job job;
    private final ResourceRequest request;
    private final long startByMicros;
    private final long nowMicros;
    private List<Option> options;
    private int nextOption;

    private Search(Job job, ResourceRequest request, long startByMicros, long nowMicros) {
      this.job = job;
      this.request = request;
      this.startByMicros = startByMicros;
      this.nowMicros = nowMicros;
    }

    /**
     * Preempts tasks to make room for one more task of the job. Returns false if no option is left.
     */
    boolean preemptForOneTask() {
      if (options == null) {
        options = options();
      }
      if (nextOption == options.size()) {
        return false;
      }
      preempt(options.get(nextOption++));
      return true;
    }

    private void preempt(Option option) {
      for (Attempt attempt : option.victims) {
        attempt.requestStop(attempt.job().spec().checkpointS() + STOP_MARGIN_S, nowMicros);
        context.metrics().count("preempted");
        if (log.isDebugEnabled()) {
          log.debug(
              "task {} on machine {} is preempted for job {}",
              attempt.name().wireName(),
              option.machine.id(),
              job.uid());
        }
      }
    }

    /**
     * Returns at most one option per machine, ordered by goals missed, number of preempted tasks
     * and ready time.
     */
    private List<Option> options() {
      // Returns no option for a job of idle priority, because no job has a lower priority. Most
      // pending jobs in a full fleet are of idle priority, so this check avoids most searches.
      if (job.priority() == Priority.IDLE) {
        return List.of();
      }
      List<Option> found = new ArrayList<>();
      Zones zones = JobZones.of(job);
      for (Machine machine : fleet.machines()) {
        MachineType machineType = context.typeCatalog().machineType(machine.machineType());
        if (machineType == null || !isEligible(machine, zones)) {
          continue;
        }
        List<Attempt> victims = victims(machine, machineType);
        if (!victims.isEmpty()) {
          Option option = option(machine, machineType, victims);
          if (isInTime(option.readyMicros)) {
            found.add(option);
          }
        }
      }
      found.sort(
          Comparator.comparingInt(Option::goalsMissed)
              .thenComparingInt(option -> option.victims.size())
              .thenComparingLong(Option::readyMicros));
      // The zone constraints were checked for a single additional task, so a job with zone
      // constraints preempts for at most one task per pass.
      return job.spec().oneZone() || job.spec().spread()
          ? found.subList(0, Math.min(1, found.size()))
          : found;
    }

    private boolean isEligible(Machine machine, Zones zones) {
      return availability.acceptsTasks(machine, nowMicros)
          && job.spec().allows(machine.machineType(), machine.zone(), machine.spot())
          && zones.allows(machine.zone())
          && !request.constraints().excludedMachines().contains(machine.id());
    }

    private Option option(Machine machine, MachineType machineType, List<Attempt> victims) {
      long fetchMicros =
          machine
              .images()
              .fetchMicros(job.spec().image(), job.spec().imageGb(), machineType, nowMicros);
      long readyMicros = nowMicros + COMMAND_MICROS + fetchMicros;
      int goalsMissed = 0;
      for (Attempt victim : victims) {
        long checkpointMicros = ExpectedTimes.secondsToMicros(victim.job().spec().checkpointS());
        readyMicros = Math.max(readyMicros, nowMicros + COMMAND_MICROS + checkpointMicros);
        goalsMissed += goals.missesFinishIfStopped(victim, nowMicros) ? 1 : 0;
      }
      return new Option(machine, victims, goalsMissed, readyMicros);
    }

    private boolean isInTime(long readyMicros) {
      boolean startsInTime =
          startByMicros != ResourceRequest.ANY_TIME && readyMicros <= startByMicros;
      boolean endsInTime =
          request.hasDeadline() && request.meetsDeadline(readyMicros, request.runMicros());
      return startsInTime || endsInTime;
    }

    /**
     * Returns the smallest set of tasks to stop on the machine, in preemption order. Empty if
     * stopping all preemptible tasks would not free enough capacity, or if no task has to be
     * stopped.
     */
    private List<Attempt> victims(Machine machine, MachineType machineType) {
      FreeCapacity free = FreeCapacity.ofEmptyMachine(machineType);
      List<Attempt> preemptible = new ArrayList<>();
      for (Attempt attempt : machine.load().attempts()) {
        if (attempt.hasEnded()) {
          continue;
        }
        if (attempt.stopping()) {
          // No task of the machine is selected, because capacity on it is already being freed for
          // another task.
          return List.of();
        }
        free.reserve(attempt.job().spec());
        if (isPreemptible(attempt)) {
          preemptible.add(attempt);
        }
      }
      preemptible.sort(
          Comparator.<Attempt>comparingInt(
                  attempt -> goals.missesFinishIfStopped(attempt, nowMicros) ? 1 : 0)
              .thenComparing(Comparator.comparingLong(Attempt::runningSinceMicros).reversed()));
      return selectVictims(preemptible, free);
    }

    private boolean isPreemptible(Attempt attempt) {
      return attempt.running()
          && attempt.job().spec().savesCheckpoints()
          && attempt.job().priority().compareTo(job.priority()) > 0
          && nowMicros - attempt.runningSinceMicros() > MIN_RUN_MICROS;
    }

    /**
     * Returns the shortest prefix of the preemptible tasks whose capacity makes room for one task
     * of the job; empty if all of them together are not enough.
     */
    private List<Attempt> selectVictims(List<Attempt> preemptible, FreeCapacity free) {
      List<Attempt> victims = new ArrayList<>();
      for (Attempt attempt : preemptible) {
        if (free.fits(job.spec())) {
          break;
        }
        free.release(attempt.job().spec());
        victims.add(attempt);
      }
      return free.fits(job.spec()) ? victims : List.of();
    }
  }
}
