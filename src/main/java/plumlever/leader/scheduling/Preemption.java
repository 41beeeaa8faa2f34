package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.leader.context.Context;
import plumlever.placement.ResourceRequest;
import plumlever.placement.Zones;
import plumlever.wire.AttemptState;
import plumlever.wire.MachineType;
import plumlever.wire.Priority;

/**
 * Frees capacity for a task that would miss its goals, by stopping tasks of jobs with less
 * priority. Only tasks that write checkpoints are stopped, so little work is lost, and none that
 * began a moment ago.
 */
final class Preemption {
  /** A task stopped sooner after its start was hardly worth starting. */
  private static final long SETTLED_MICROS = 35_000_000;

  /** A stop goes out with the next answer, and the room is seen with the heartbeat after it. */
  private static final long COMMAND_MICROS = 3_000_000;

  private static final double EPSILON = 1e-9;

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final MachineAvailability availability;
  private final JobGoals goals;

  Preemption(Context context, Fleet fleet, MachineAvailability availability, JobGoals goals) {
    this.context = context;
    this.log = context.logs().of(Preemption.class);
    this.fleet = fleet;
    this.availability = availability;
    this.goals = goals;
  }

  /** Room that could be made for one task of a job. */
  private record Offer(Machine machine, List<Attempt> victims, int harmed, long readyMicros) {}

  /**
   * Makes room for the tasks of one job, one after the other; the whole fleet is looked through
   * once.
   */
  final class Search {
    private final Job job;
    private final ResourceRequest request;
    private final long startByMicros;
    private final long now;
    private List<Offer> offers;
    private int next;

    private Search(Job job, ResourceRequest request, long startByMicros, long now) {
      this.job = job;
      this.request = request;
      this.startByMicros = startByMicros;
      this.now = now;
    }

    /** True if tasks were told to stop so that one more task of the job will fit. */
    boolean preemptForOneTask() {
      if (offers == null) {
        offers = offers(job, request, startByMicros, now);
      }
      if (next == offers.size()) {
        return false;
      }
      Offer offer = offers.get(next++);
      for (Attempt attempt : offer.victims) {
        attempt.stop(attempt.job().spec().checkpointS() + 2, now);
        context.metrics().count("preempted");
        if (log.isDebugEnabled()) {
          log.debug(
              "{} on {} is preempted for {}",
              attempt.name().wireName(),
              offer.machine.id(),
              job.uid());
        }
      }
      return true;
    }
  }

  Search search(Job job, ResourceRequest request, long startByMicros, long now) {
    return new Search(job, request, startByMicros, now);
  }

  /**
   * The least harm first, then the fewest tasks stopped, then the soonest room; a machine is
   * offered once.
   */
  private List<Offer> offers(Job job, ResourceRequest request, long startByMicros, long now) {
    List<Offer> out = new ArrayList<>();
    if (job.priority() == Priority.IDLE) {
      // Nothing is less urgent, and in a full fleet most of what waits is like this.
      return out;
    }
    Zones zones = JobZones.of(job);
    for (Machine machine : fleet.machines()) {
      MachineType machineType = context.prices().machineType(machine.machineType());
      if (machineType == null
          || !availability.acceptsTasks(machine, now)
          || !job.spec().allows(machine.machineType(), machine.zone(), machine.spot())
          || !zones.allows(machine.zone())) {
        continue;
      }
      List<Attempt> stop = victims(machine, machineType, job, now);
      if (stop.isEmpty()) {
        continue;
      }
      long ready =
          now
              + COMMAND_MICROS
              + machine
                  .images()
                  .fetchMicros(job.spec().image(), job.spec().imageGb(), machineType, now);
      int harmed = 0;
      for (Attempt attempt : stop) {
        ready =
            Math.max(
                ready, now + COMMAND_MICROS + (long) (attempt.job().spec().checkpointS() * 1e6));
        harmed += goals.missesFinishIfStopped(attempt, now) ? 1 : 0;
      }
      if (helps(request, startByMicros, ready)) {
        out.add(new Offer(machine, stop, harmed, ready));
      }
    }
    out.sort(
        Comparator.comparingInt(Offer::harmed)
            .thenComparingInt(o -> o.victims.size())
            .thenComparingLong(Offer::readyMicros));
    // Zones are checked for one more task; a job with such a rule makes room for one a round.
    return job.spec().oneZone() || job.spec().spread()
        ? out.subList(0, Math.min(1, out.size()))
        : out;
  }

  private static boolean helps(ResourceRequest request, long startByMicros, long ready) {
    boolean starts = startByMicros != Long.MAX_VALUE && ready <= startByMicros;
    boolean ends =
        request.deadlineMicros() != Long.MAX_VALUE
            && ready + request.runMicros() <= request.deadlineMicros();
    return starts || ends;
  }

  /**
   * The fewest tasks on the machine that have to stop; empty if it would not be enough or nothing
   * has to.
   */
  private List<Attempt> victims(Machine machine, MachineType machineType, Job job, long now) {
    double cores = machineType.cores();
    double memory = machineType.memoryGb();
    double accelerators = machineType.accelerators();
    List<Attempt> candidates = new ArrayList<>();
    for (Attempt attempt : machine.load().attempts()) {
      if (attempt.over()) {
        continue;
      }
      if (attempt.stopping()) {
        // Room on its way already, meant for somebody.
        return List.of();
      }
      cores -= attempt.job().spec().cores();
      memory -= attempt.job().spec().memoryGb();
      accelerators -= attempt.job().spec().accelerators();
      if (attempt.state() == AttemptState.RUNNING
          && attempt.job().spec().checkpoints()
          && attempt.job().priority().compareTo(job.priority()) > 0
          && now - attempt.runningSinceMicros() > SETTLED_MICROS) {
        candidates.add(attempt);
      }
    }
    candidates.sort(
        Comparator.<Attempt>comparingInt(a -> goals.missesFinishIfStopped(a, now) ? 1 : 0)
            .thenComparing(Comparator.comparingLong(Attempt::runningSinceMicros).reversed()));
    List<Attempt> stop = new ArrayList<>();
    for (Attempt attempt : candidates) {
      if (fits(job, cores, memory, accelerators)) {
        break;
      }
      cores += attempt.job().spec().cores();
      memory += attempt.job().spec().memoryGb();
      accelerators += attempt.job().spec().accelerators();
      stop.add(attempt);
    }
    return fits(job, cores, memory, accelerators) ? stop : List.of();
  }

  private static boolean fits(Job job, double cores, double memory, double accelerators) {
    return cores + EPSILON >= job.spec().cores()
        && memory + EPSILON >= job.spec().memoryGb()
        && accelerators + EPSILON >= job.spec().accelerators();
  }
}
