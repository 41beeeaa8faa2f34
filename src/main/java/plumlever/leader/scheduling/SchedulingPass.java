package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Attempt;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.GuestLoad;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RegistrationState;
import plumlever.leader.context.Context;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.job.StartedJobIndex;
import plumlever.placement.PlacementCandidate;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;
import plumlever.placement.Zones;
import plumlever.scaling.CapacityHeadroom;
import plumlever.scaling.RentalPlan;
import plumlever.settings.PlatformConfiguration;
import plumlever.sharing.CoreDemand;
import plumlever.wire.AttemptState;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/**
 * The scheduling pass: which free tasks go to which machine. A plan binds nobody: it is made anew
 * as things change, and a task is only taken when its machine's answer is written. A round that
 * uses up its time goes on with the next job when it is called again.
 */
public final class SchedulingPass {
  /** Tasks of one job looked at in one round beyond those that find room at once. */
  private static final int MOST_BOOKED = 64;

  private static final int MOST_PREEMPTED = 48;

  /**
   * Jobs in one round for which no machine has room now, and that are looked at closely all the
   * same: the most pressing.
   */
  private static final int MOST_UNSCHEDULABLE = 24;

  /**
   * About what a task that is stopped loses until it runs again: saving, waiting for room, its
   * image.
   */
  private static final long RESTART_MICROS = 60_000_000;

  private static final double SPEED_GB_FOR_CORE = 4;
  private static final long HEADROOM_WINDOW_MICROS = 120_000_000;
  private static final long HEADROOM_EVERY_MICROS = 1_000_000;
  private static final long MISSED_MICROS = 120_000_000;
  private static final long LONG_WAIT_MICROS = 120_000_000;

  /** About what a command takes that is sent to a machine. */
  private static final long COMMAND_MICROS = 50_000;

  /**
   * From the end of a job's last task to the start of the next one's in its chain: a heartbeat, the
   * record, a round, a command.
   */
  private static final long STAGE_HANDOVER_MICROS = 1_500_000;

  private static final long COSTS_EVERY_MICROS = 10_000_000;

  /** How long other cells' tasks are taken to stay from any moment on. */
  private static final long GUESTS_STAY_MICROS = 60_000_000;

  /** Some tasks of a job that go to a machine with its next answer. */
  static final class PlannedTasks {
    final Job job;
    int tasks;

    PlannedTasks(Job job) {
      this.job = job;
    }
  }

  private final Logger log;
  private final Context context;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final StartedJobIndex startedJobs;
  private final Estimates estimates;
  private final Failover failover;
  private final Placer placer;
  private final Preemption preemption;
  private final ServiceObjectives objectives;
  private final Map<String, Map<Job, PlannedTasks>> plans = new HashMap<>();
  private final Map<String, double[]> plannedByTeam = new HashMap<>();
  private final Map<Job, Boolean> withinGuarantee = new HashMap<>();
  private final Set<Job> seen = new HashSet<>();
  private final CapacityHeadroom headroom;
  private List<Job> order = List.of();
  private final Set<Machine> cordoned = new LinkedHashSet<>();
  private int cursor;
  private int unschedulable;
  private long finishedMicros;
  private long headroomCheckedMicros = Long.MIN_VALUE / 2;
  private long spentMicros;
  private long costedMicros;
  private FleetSnapshot snapshot;
  private List<RentalPlan.Demand> demands = new ArrayList<>();
  private List<RentalPlan.Demand> lastDemands = List.of();

  /** The last demand for work that has not come yet. */
  private RentalPlan.Demand lastHeadroomDemand;

  /** The passes of one term; nothing is planned before the first run. */
  public SchedulingPass(
      Context context,
      Fleet fleet,
      ActiveJobs jobs,
      StartedJobIndex startedJobs,
      Estimates estimates,
      Failover failover) {
    this.context = context;
    this.log = context.logs().of(SchedulingPass.class);
    this.fleet = fleet;
    this.jobs = jobs;
    this.startedJobs = startedJobs;
    this.estimates = estimates;
    this.failover = failover;
    this.placer =
        new Placer(
            context.parameters().paddingShare(),
            context.parameters().tieShare(),
            hedge(context),
            context.moneyMatters() ? 0 : context.parameters().spotRisk());
    this.preemption = new Preemption(context, fleet, this::usable, this::harmed);
    this.headroom =
        new CapacityHeadroom(
            HEADROOM_WINDOW_MICROS,
            context.parameters().rentMicros(),
            context.parameters().headroomDeviations());
    this.objectives =
        new ServiceObjectives(
            context.platform().objectives(), context.parameters().startTargetMicros());
  }

  /** When the demands were found. */
  public long finishedMicros() {
    return finishedMicros;
  }

  private static long hedge(Context context) {
    return context.moneyMatters() ? context.parameters().rentMicros() : 0;
  }

  /**
   * What a task of the job takes from its release on, padded, its image included: what it leaves
   * those before it in a chain.
   */
  public long costMicros(Job job) {
    double fetch = 0;
    int types = 0;
    for (MachineType machineType : context.prices().machineTypes()) {
      if (machineType.fetchGbPerS() > 0
          && (job.spec().machineTypes() == null
              || job.spec().machineTypes().contains(machineType.name()))) {
        fetch += job.spec().imageGb() / machineType.fetchGbPerS() * 1e6;
        types++;
      }
    }
    long run = (long) (estimates.runMicros(job) * (1 + context.parameters().paddingShare()));
    return run + (types == 0 ? 0 : (long) (fetch / types)) + STAGE_HANDOVER_MICROS;
  }

  /** Machines that get no new tasks, because the others will do; they go once they are empty. */
  public Set<Machine> cordoned() {
    return cordoned;
  }

  /**
   * True if all that waits would still be served in time without these machines. Nothing is
   * changed.
   */
  public boolean canDoWithout(Set<Machine> without) {
    long now = context.loop().nowMicros();
    FleetSnapshot snapshot = new FleetSnapshot(now, without, false);
    return servesAllInTime(snapshot, now) && snapshot.spareCores() >= headroom.cores(now);
  }

  /**
   * The same of what waits now only: what stands by for work that may come is less than what waits
   * in another cell.
   */
  public boolean servesWaitingWithout(Set<Machine> without) {
    long now = context.loop().nowMicros();
    return servesAllInTime(new FleetSnapshot(now, without, false), now);
  }

  private boolean servesAllInTime(FleetSnapshot snapshot, long now) {
    for (Job job : order(now)) {
      ResourceRequest request = request(job, now);
      Placer.Search search = search(request, zones(job), snapshot);
      int want = Math.min(job.freeCount(), failover.quotaHeadroom(job));
      for (int i = 0; i < want; i++) {
        Placer.Choice choice = search.next();
        if (choice.candidate() < 0
            || (!choice.feasible() && rentalHelps(job, request, now))
            || i > MOST_BOOKED) {
          return false;
        }
        search.commit(choice);
      }
    }
    return true;
  }

  /** What waits for machines, as of the last whole round. */
  public List<RentalPlan.Demand> demands() {
    return lastDemands;
  }

  /** Processors that tasks wait for which are there already, as of the last whole round. */
  public double waitingCores() {
    double cores = 0;
    for (RentalPlan.Demand demand : lastDemands) {
      cores += demand == lastHeadroomDemand ? 0 : demand.tasks() * demand.job().cores();
    }
    return cores;
  }

  public Iterable<PlannedTasks> planned(Machine machine) {
    return plans.getOrDefault(machine.id(), Map.of()).values();
  }

  public boolean hasPlan(Machine machine) {
    return plans.containsKey(machine.id());
  }

  /** True if something of the plan can be ordered: its job is on record. */
  public boolean hasRecordedPlan(Machine machine) {
    for (PlannedTasks plannedTasks : planned(machine)) {
      if (plannedTasks.job.registration() == RegistrationState.STORED) {
        return true;
      }
    }
    return false;
  }

  /** What is left of the jobs that may run, and the time that each has left. */
  public List<CoreDemand.Work> remainingWork() {
    long now = context.loop().nowMicros();
    List<CoreDemand.Work> works = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (job.complete()
          || job.over()
          || job.cancellationConfirmed()
          || job.waitsForDependencies()) {
        continue;
      }
      long runMicros = costMicros(job);
      long finish = objectives.finishBy(job, now);
      long start = objectives.startBy(job, guaranteed(job), now);
      long steppedDown =
          Math.min(finish, start == Long.MAX_VALUE ? start : start + runMicros) - now;
      int tasks = job.freeCount() + job.liveCount();
      works.add(
          new CoreDemand.Work(
              job.spec().team(), tasks, job.spec().cores(), runMicros, steppedDown));
    }
    return works;
  }

  /** When the last task that runs on the machine should end. */
  public long expectedIdleMicros(Machine machine) {
    long now = context.loop().nowMicros();
    MachineType machineType = context.prices().machineType(machine.machineType());
    long last = machine.load().guests().tasks() > 0 ? now + GUESTS_STAY_MICROS : now;
    for (Attempt attempt : machine.load().attempts()) {
      if (!attempt.over() && machineType != null) {
        last = Math.max(last, endsAt(attempt, machineType, now));
      }
    }
    return last;
  }

  public void dropPlan(Machine machine) {
    plans.remove(machine.id());
  }

  /** Goes through the jobs, most urgent first; true when it came to the end within its time. */
  public boolean run() {
    long start = context.loop().nowMicros();
    if (cursor >= order.size()) {
      plans.clear();
      plannedByTeam.clear();
      demands = new ArrayList<>();
      jobs.propagateGoals(start - costedMicros > COSTS_EVERY_MICROS);
      costedMicros = start - costedMicros > COSTS_EVERY_MICROS ? start : costedMicros;
      order = order(start);
      cursor = 0;
      unschedulable = 0;
      spentMicros = 0;
      snapshot = order.isEmpty() ? null : new FleetSnapshot(start, cordoned, true);
    }
    while (cursor < order.size()) {
      place(order.get(cursor++));
      if (context.loop().nowMicros() - start > context.parameters().passBudgetMicros()
          && cursor < order.size()) {
        spentMicros += context.loop().nowMicros() - start;
        context.metrics().count("passes_cut");
        return false;
      }
    }
    // Where nothing waits, a look at every machine only to see whether enough room stands by is not
    // needed each time.
    if (snapshot != null
        || !lastDemands.isEmpty()
        || start - headroomCheckedMicros >= HEADROOM_EVERY_MICROS) {
      headroomCheckedMicros = start;
      demandHeadroom(snapshot == null ? new FleetSnapshot(start, cordoned, true) : snapshot);
    }
    snapshot = null;
    lastDemands = demands;
    finishedMicros = context.loop().nowMicros();
    spentMicros += finishedMicros - start;
    context.metrics().time("pass", spentMicros);
    return true;
  }

  /**
   * Asks for room that is missing for work that has not come yet but must start at once when it
   * does.
   */
  private void demandHeadroom(FleetSnapshot snapshot) {
    double missing = headroom.cores(snapshot.now) - snapshot.spareCores();
    JobSpec like = headroom.typical();
    if (missing > 0 && like != null && like.cores() > 0) {
      lastHeadroomDemand =
          new RentalPlan.Demand(
              like,
              null,
              (int) Math.ceil(missing / like.cores()),
              (long) (like.expectedRunS() * 1e6));
      demands.add(lastHeadroomDemand);
    }
  }

  /** What the last whole round took, without the pauses in it. */
  public long spentMicros() {
    return spentMicros;
  }

  /** Machines that have a plan, by name. */
  List<String> plannedMachines() {
    return new ArrayList<>(plans.keySet());
  }

  /** By when its next task has to run; tasks that ran before have met any aim for a start. */
  private long latestStart(Job job, long now) {
    long finish = objectives.finishBy(job, now);
    long run = (long) (estimates.runMicros(job) * (1 + context.parameters().paddingShare()));
    long byFinish = finish == Long.MAX_VALUE ? Long.MAX_VALUE : finish - run;
    return job.hasFreshFree()
        ? Math.min(byFinish, objectives.startBy(job, guaranteed(job), now))
        : byFinish;
  }

  /**
   * What missed its aim a moment ago makes way for what can still meet its own, but not for ever.
   */
  private static boolean missed(long latestStart, long now) {
    return latestStart < now && now - latestStart < MISSED_MICROS;
  }

  /**
   * Of lasting work that is more urgent or guaranteed there may be no end, so what has waited long
   * to begin goes first.
   */
  private boolean mustBegin(Job job, long now) {
    return !job.hasStarted() && now - job.releasedMicros() > context.parameters().beginMicros();
  }

  /**
   * What must begin first, the oldest first; then work within a guarantee, then by priority, then
   * what can still meet its aim, the most pressing first.
   */
  private List<Job> order(long now) {
    Map<String, Double> guaranteed = new HashMap<>();
    for (PlatformConfiguration.Team team : context.platform().teams()) {
      guaranteed.put(team.name(), team.cpus());
    }
    List<Job> byAge = new ArrayList<>(jobs.all());
    byAge.sort(Comparator.comparingLong(Job::releasedMicros));
    withinGuarantee.keySet().retainAll(byAge);
    seen.retainAll(withinGuarantee.keySet());
    Map<String, Double> used = new HashMap<>();
    List<Job> waiting = new ArrayList<>();
    for (Job job : byAge) {
      if (job.complete()
          || job.over()
          || job.cancellationConfirmed()
          || job.waitsForDependencies()) {
        continue;
      }
      double cores =
          used.merge(job.spec().team(), job.spec().taskCount() * job.spec().cores(), Double::sum);
      // Decided once, when the job comes: what finishes later does not move a job that came beyond
      // the guarantee.
      if (withinGuarantee.putIfAbsent(job, cores <= guaranteed.getOrDefault(job.spec().team(), 0.0))
              == null
          && withinGuarantee.get(job)) {
        context.metrics().count("jobs_guaranteed");
      }
      if (seen.add(job)
          && now - job.releasedMicros() < HEADROOM_WINDOW_MICROS
          && objectives.startBy(job, guaranteed(job), job.releasedMicros()) - job.releasedMicros()
              < context.parameters().rentMicros()) {
        headroom.arrived(now, job.spec());
      }
      if (job.hasFree() && job.notBeforeMicros() <= now && !failover.blocks(job)) {
        waiting.add(job);
      }
    }
    Map<Job, Long> latest = new HashMap<>();
    waiting.forEach(j -> latest.put(j, latestStart(j, now)));
    waiting.sort(
        Comparator.<Job>comparingLong(j -> mustBegin(j, now) ? j.releasedMicros() : Long.MAX_VALUE)
            .thenComparingInt(j -> withinGuarantee.get(j) ? 0 : 1)
            .thenComparing(j -> j.priority())
            .thenComparingInt(j -> missed(latest.get(j), now) ? 1 : 0)
            .thenComparingLong(latest::get)
            .thenComparingLong(Job::releasedMicros));
    return waiting;
  }

  private boolean usable(Machine machine, long now) {
    // A new leader has the machines' answers to its direct calls before their own heartbeats:
    // without those machines everything would seem to lack room, and be rented for.
    long sign =
        machine.contact().hasReported()
            ? machine.contact().lastHeartbeatMicros()
            : failover.startedMicros();
    // A machine that missed a heartbeat may be gone, and one with an unheard direct command may
    // have taken it.
    return machine.registration() == RegistrationState.STORED
        && machine.accounted()
        && !machine.draining()
        && !machine.returning()
        && !machine.offered()
        && !machine.contact().unreachable()
        && !machine.load().hasUnconfirmedStart()
        && now - sign < context.platform().workers().latestHeartbeatMicros();
  }

  /** Rented and not up yet, or up and not yet on record. */
  private boolean coming(Machine machine, long now) {
    if (failover.overdue(now) && failover.open().contains(machine)) {
      return false;
    }
    return !machine.returning()
        && !machine.failed()
        && !machine.draining()
        && (!machine.contact().hasReported() || machine.registration() != RegistrationState.STORED)
        && machine.accounted() == machine.contact().hasReported();
  }

  /** The machines as one round sees them, with what it gives away as it goes. */
  private final class FleetSnapshot {
    private final long now;
    private final List<PlacementCandidate> candidates = new ArrayList<>();
    private final List<Machine> machines = new ArrayList<>();

    FleetSnapshot(long now, Set<Machine> without, boolean withPlans) {
      this.now = now;
      for (Machine machine : fleet.machines()) {
        MachineType machineType = context.prices().machineType(machine.machineType());
        if (machineType == null || without.contains(machine)) {
          continue;
        }
        if (coming(machine, now)) {
          long up =
              Math.max(
                  now + 1_000_000,
                  machine.knownSinceMicros() + (long) (machineType.startupS() * 1.2e6));
          PlacementCandidate candidate = candidate(machine, machineType, 1, 0);
          candidate.comesUp(up);
          add(machine, candidate);
        } else if (usable(machine, now)) {
          PlacementCandidate candidate =
              candidate(machine, machineType, machine.health().slowness(), COMMAND_MICROS);
          for (Attempt attempt : machine.load().attempts()) {
            if (!attempt.over()) {
              occupy(candidate, attempt.job(), endsAt(attempt, machineType, now));
            }
          }
          occupyByGuests(candidate, machine.load().guests());
          if (withPlans) {
            for (PlannedTasks plannedTasks : planned(machine)) {
              for (int i = 0; i < plannedTasks.tasks; i++) {
                occupy(candidate, plannedTasks.job, now + estimates.runMicros(plannedTasks.job));
              }
            }
          }
          add(machine, candidate);
        }
      }
    }

    private PlacementCandidate candidate(
        Machine machine, MachineType machineType, double slowness, long delay) {
      // Where only speed matters no machine is dearer than another for its size: what is left of
      // the score is the time that a task holds its share, with the image if it has to be fetched.
      double price =
          context.moneyMatters()
              ? context.prices().hourly(machineType, machine.spot()) / 3600
              : Math.max(machineType.cores(), machineType.memoryGb() / SPEED_GB_FOR_CORE);
      return new PlacementCandidate(
          machine.id(),
          machine.machineType(),
          machine.zone(),
          machine.spot(),
          machineType.cores(),
          machineType.accelerators(),
          machineType.memoryGb(),
          price,
          slowness,
          delay);
    }

    private void add(Machine machine, PlacementCandidate candidate) {
      machines.add(machine);
      candidates.add(candidate);
    }

    double spareCores() {
      double spare = 0;
      for (PlacementCandidate candidate : candidates) {
        spare += candidate.spareCores();
      }
      return spare;
    }

    /** When other cells' tasks end is not known here. */
    private void occupyByGuests(PlacementCandidate candidate, GuestLoad guests) {
      if (guests.tasks() > 0) {
        candidate.occupy(
            guests.cores(), guests.accelerators(), guests.memoryGb(), now + GUESTS_STAY_MICROS);
      }
    }

    private static void occupy(PlacementCandidate candidate, Job job, long until) {
      candidate.occupy(job.spec().cores(), job.spec().accelerators(), job.spec().memoryGb(), until);
    }
  }

  private long endsAt(Attempt attempt, MachineType machineType, long now) {
    if (attempt.stopping()) {
      return now + (long) (attempt.job().spec().checkpointS() * 1e6);
    }
    long run =
        (long)
            (estimates.runMicros(attempt.job())
                * attempt.machine().health().slowness()
                * (1 + context.parameters().paddingShare()));
    if (attempt.state() == AttemptState.RUNNING && attempt.runningSinceMicros() >= 0) {
      long end = attempt.runningSinceMicros() + run;
      // A task past its estimate may take any time; the longer it has run, the longer it is
      // expected to.
      return end > now ? end : now + (now - attempt.runningSinceMicros()) / 5 + 1_000_000;
    }
    long fetch =
        machineType.fetchGbPerS() > 0
            ? (long) (attempt.job().spec().imageGb() / machineType.fetchGbPerS() * 1e6)
            : 0;
    return Math.max(now, attempt.sentMicros() + fetch) + run;
  }

  private ResourceRequest request(Job job, long now) {
    return request(job, now, objectives.startBy(job, guaranteed(job), now));
  }

  private ResourceRequest request(Job job, long now, long startBy) {
    return new ResourceRequest(
        job.spec().cores(),
        job.spec().accelerators(),
        job.spec().memoryGb(),
        job.spec().image(),
        job.spec().imageGb(),
        estimates.runMicros(job),
        objectives.finishBy(job, now),
        startBy,
        job.spec().machineTypes(),
        job.spec().zone(),
        job.spec().spotAllowed(),
        job.spec().checkpoints());
  }

  private boolean guaranteed(Job job) {
    return withinGuarantee.getOrDefault(job, false);
  }

  /** The job's rules about zones, all its tasks counted that may still be on a machine. */
  static Zones zones(Job job) {
    if (!job.spec().oneZone() && !job.spec().spread()) {
      return new Zones(false, Integer.MAX_VALUE);
    }
    Zones zones = new Zones(job.spec().oneZone(), job.spec().zoneLimit());
    for (Attempt attempt : job.live()) {
      zones.add(attempt.machine().zone());
    }
    return zones;
  }

  /**
   * True if stopping the attempt now would make its job miss an aim for its end that it can still
   * meet.
   */
  private boolean harmed(Attempt attempt, long now) {
    long finish = objectives.finishBy(attempt.job(), now);
    if (finish == Long.MAX_VALUE || attempt.runningSinceMicros() < 0) {
      return false;
    }
    long run = estimates.runMicros(attempt.job());
    long steppedDown = Math.max(run / 10, run - (now - attempt.runningSinceMicros()));
    return now + steppedDown <= finish && now + steppedDown + RESTART_MICROS > finish;
  }

  private Placer.Search search(ResourceRequest request, Zones zones, FleetSnapshot snapshot) {
    context.metrics().count("candidates_evaluated", snapshot.candidates.size());
    return placer.search(
        request,
        snapshot.candidates,
        zones,
        (candidate, machine, image, gb) -> {
          Machine otherMachine = snapshot.machines.get(candidate);
          return otherMachine
              .images()
              .fetchMicros(
                  image,
                  gb,
                  context.prices().machineType(otherMachine.machineType()),
                  snapshot.now);
        },
        snapshot.now);
  }

  private void place(Job job) {
    if (job.over() || job.cancellationConfirmed() || job.waitsForDependencies() || !job.hasFree()) {
      return;
    }
    long now = snapshot.now;
    ResourceRequest request = request(job, now);
    Zones zones = zones(job);
    int quota = quotaHeadroom(job);
    if (quota < 1 && mustBegin(job, now)) {
      // What its team's smaller tasks leave of the limit would go to the next of them, again and
      // again.
      planned(job);
    }
    int want = Math.min(job.freeCount(), quota);
    if (want < 1) {
      return;
    }
    if (!Placer.hasFreeCapacityNow(request, snapshot.candidates, zones)
        && ++unschedulable > MOST_UNSCHEDULABLE) {
      // Behind so many that wait as well there is no machine that could be booked for soon; where
      // hundreds of jobs wait in a full fleet, searching for each would take longer than until the
      // next urgent one comes.
      if (!context.moneyMatters()) {
        demands.add(new RentalPlan.Demand(job.spec(), job.boundZone(), want, request.runMicros()));
      }
      return;
    }
    Placer.Search search = search(request, zones, snapshot);
    int waiting = 0;
    int booked = 0;
    int preempted = 0;
    Preemption.Search room =
        preemption.search(job, request, objectives.startBy(job, guaranteed(job), now), now);
    boolean mayPreempt = true;
    boolean relaxed = false;
    for (int i = 0; i < want; i++) {
      Placer.Choice choice = search.next();
      if ((choice.candidate() < 0 || !choice.feasible())
          && choice.startMicros() > now
          && mayPreempt
          && preempted < MOST_PREEMPTED) {
        if (room.freeCapacity()) {
          preempted++;
          continue;
        }
        mayPreempt = false;
      }
      if (!relaxed && !choice.feasible() && choice.startMicros() > now && context.moneyMatters()) {
        // No machine that is rented now would be up for this aim; what is booked or rented is for
        // the next one.
        relaxed = true;
        long later =
            objectives.startBy(job, guaranteed(job), now + context.parameters().rentMicros());
        if (later > request.startByMicros()) {
          request = request(job, now, later);
          search = search(request, zones, snapshot);
          i--;
          continue;
        }
      }
      if (choice.candidate() < 0) {
        // Nowhere at all. With time to spare one machine is a start: the rest is booked on it, or
        // found short, then.
        boolean spare =
            context.moneyMatters()
                && request.startByMicros() != Long.MAX_VALUE
                && request.startByMicros() - now > 2 * context.parameters().rentMicros();
        waiting += spare ? 1 : want - i;
        break;
      }
      search.commit(choice);
      if (choice.startMicros() <= now) {
        startedJobs.enroll(job);
        plans
            .computeIfAbsent(
                snapshot.candidates.get(choice.candidate()).machine(), k -> new LinkedHashMap<>())
            .computeIfAbsent(job, PlannedTasks::new)
            .tasks++;
        planned(job);
      } else {
        boolean rent = needsRental(job, choice, request, now);
        if (rent) {
          waiting++;
        }
        if (++booked >= MOST_BOOKED) {
          waiting += rent ? want - i - 1 : 0;
          break;
        }
      }
    }
    if (waiting > 0) {
      demands.add(new RentalPlan.Demand(job.spec(), job.boundZone(), waiting, request.runMicros()));
    }
    if (waiting > 0 && log.isDebugEnabled()) {
      log.debug(
          "{}: {} of {} free tasks wait for machines, {} booked",
          job.uid(),
          waiting,
          job.freeCount(),
          booked);
    }
  }

  /** What one task of the job takes of its team's limit is given away in this round. */
  private void planned(Job job) {
    double[] planned = plannedByTeam.computeIfAbsent(job.spec().team(), k -> new double[2]);
    planned[0] += job.spec().cores();
    planned[1] += job.spec().accelerators();
  }

  private boolean needsRental(Job job, Placer.Choice choice, ResourceRequest request, long now) {
    if (!context.moneyMatters()) {
      return choice.startMicros() - now > context.parameters().rentMicros();
    }
    return !choice.feasible()
        && (rentalHelps(job, request, now) || choice.startMicros() - now > LONG_WAIT_MICROS);
  }

  /** True if a machine rented now could still serve the task in time. */
  private boolean rentalHelps(Job job, ResourceRequest request, long now) {
    long up = now + context.parameters().rentMicros();
    return up <= objectives.startBy(job, guaranteed(job), up)
        && (request.deadlineMicros() == Long.MAX_VALUE
            || up + request.runMicros() <= request.deadlineMicros());
  }

  /**
   * How many more tasks the job's team may run, counting whatever may still be running anywhere.
   */
  int quotaHeadroom(Job job) {
    int room = failover.quotaHeadroom(job);
    double[] planned = plannedByTeam.get(job.spec().team());
    if (planned != null && room != Integer.MAX_VALUE) {
      if (job.spec().cores() > 0) {
        room -= (int) Math.ceil(planned[0] / job.spec().cores() - 1e-9);
      } else if (job.spec().accelerators() > 0) {
        room -= (int) Math.ceil(planned[1] / job.spec().accelerators() - 1e-9);
      }
    }
    return Math.max(0, room);
  }
}
