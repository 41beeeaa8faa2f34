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
 * Frees capacity for a task that would miss its goals, by stopping tasks of jobs with less
 * priority. Only tasks that write checkpoints are stopped, so little work is lost, and none that
 * began a moment ago.
 */
final class Preemption {
  /** A task stopped sooner after its start was hardly worth starting. */
  private static final long MIN_RUN_MICROS = 35_000_000;

  /** A stop goes out with the next response, and the heartbeat after it shows what it freed. */
  private static final long COMMAND_MICROS = 3_000_000;

  /** Between a task's checkpoint and the end of its grace period. */
  private static final double STOP_MARGIN_S = 2;

  private final Logger log;
  private final TermContext context;
  private final Fleet fleet;
  private final MachineAvailability availability;
  private final JobGoals goals;

  Preemption(TermContext context, Fleet fleet, MachineAvailability availability, JobGoals goals) {
    this.context = context;
    this.log = context.logs().of(Preemption.class);
    this.fleet = fleet;
    this.availability = availability;
    this.goals = goals;
  }

  /**
   * Tasks whose stop would free a machine for one task.
   *
   * @param goalsMissed how many of them would miss their jobs' goals by it
   * @param readyMicros when the task could run there
   */
  private record Option(
      Machine machine, List<Attempt> victims, int goalsMissed, long readyMicros) {}

  /** Begins to preempt for the tasks of one job, which should start by then. */
  Search search(Job job, ResourceRequest request, long startByMicros, long nowMicros) {
    return new Search(job, request, startByMicros, nowMicros);
  }

  /**
   * Preempts for the tasks of one job, one after the other; the fleet is searched once, when the
   * first task needs it.
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

    /** True if tasks were told to stop so that one more task of the job will fit. */
    boolean preemptForOneTask() {
      if (options == null) {
        options = options();
      }
      if (nextOption == options.size()) {
        return false;
      }
      stop(options.get(nextOption++));
      return true;
    }

    private void stop(Option option) {
      for (Attempt attempt : option.victims) {
        attempt.requestStop(attempt.job().spec().checkpointS() + STOP_MARGIN_S, nowMicros);
        context.metrics().count("preempted");
        if (log.isDebugEnabled()) {
          log.debug(
              "{} on {} is preempted for {}",
              attempt.name().wireName(),
              option.machine.id(),
              job.uid());
        }
      }
    }

    /**
     * The fewest goals missed first, then the fewest tasks stopped, then the soonest ready; a
     * machine is an option once.
     */
    private List<Option> options() {
      // Nothing has less priority, and in a full fleet most of what waits is like this.
      if (job.priority() == Priority.IDLE) {
        return List.of();
      }
      List<Option> found = new ArrayList<>();
      Zones zones = JobZones.of(job);
      for (Machine machine : fleet.machines()) {
        MachineType machineType = context.prices().machineType(machine.machineType());
        if (machineType == null || !suits(machine, zones)) {
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
      // Zones are checked for one more task; a job with such a rule preempts for one in each pass.
      return job.spec().oneZone() || job.spec().spread()
          ? found.subList(0, Math.min(1, found.size()))
          : found;
    }

    private boolean suits(Machine machine, Zones zones) {
      return availability.acceptsTasks(machine, nowMicros)
          && job.spec().allows(machine.machineType(), machine.zone(), machine.spot())
          && zones.allows(machine.zone());
    }

    private Option option(Machine machine, MachineType machineType, List<Attempt> victims) {
      long fetchMicros =
          machine
              .images()
              .fetchMicros(job.spec().image(), job.spec().imageGb(), machineType, nowMicros);
      long readyMicros = nowMicros + COMMAND_MICROS + fetchMicros;
      int goalsMissed = 0;
      for (Attempt victim : victims) {
        long checkpointMicros = ExpectedTimes.micros(victim.job().spec().checkpointS());
        readyMicros = Math.max(readyMicros, nowMicros + COMMAND_MICROS + checkpointMicros);
        goalsMissed += goals.missesFinishIfStopped(victim, nowMicros) ? 1 : 0;
      }
      return new Option(machine, victims, goalsMissed, readyMicros);
    }

    private boolean isInTime(long readyMicros) {
      boolean startsInTime =
          startByMicros != ResourceRequest.ANY_TIME && readyMicros <= startByMicros;
      boolean endsInTime =
          request.hasDeadline() && request.endsInTime(readyMicros, request.runMicros());
      return startsInTime || endsInTime;
    }

    /**
     * The fewest tasks on the machine that have to stop; empty if stopping all that may be stopped
     * would not be enough, or none has to.
     */
    private List<Attempt> victims(Machine machine, MachineType machineType) {
      FreeCapacity free = FreeCapacity.whole(machineType);
      List<Attempt> preemptible = new ArrayList<>();
      for (Attempt attempt : machine.load().attempts()) {
        if (attempt.over()) {
          continue;
        }
        if (attempt.stopping()) {
          // Its capacity is being freed already, for another task.
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
      return fewest(preemptible, free);
    }

    private boolean isPreemptible(Attempt attempt) {
      return attempt.running()
          && attempt.job().spec().savesCheckpoints()
          && attempt.job().priority().compareTo(job.priority()) > 0
          && nowMicros - attempt.runningSinceMicros() > MIN_RUN_MICROS;
    }

    /** The first of them that have to stop so that the task fits; empty if all are not enough. */
    private List<Attempt> fewest(List<Attempt> preemptible, FreeCapacity free) {
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
