package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.fleet.RunTimeEstimates;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.leader.job.StartedJobIndex;
import plumlever.scaling.RentalPlan;
import plumlever.sharing.CoreDemand;

/**
 * Assigns pending tasks to machines and determines the rental demand for the tasks that do not fit.
 *
 * <p>A plan is only a proposal: every pass computes a new plan, and {@link TaskStarter} checks all
 * constraints again when a start command is written. A pass that exceeds its time budget stops
 * after the current job and resumes with the next job on the next call.
 */
public final class SchedulingPass {
  private static final long HEADROOM_CHECK_MICROS = 1_000_000;

  /**
   * Interval between updates of the expected run times that the propagation of deadlines and
   * priorities along dependency chains uses.
   */
  private static final long COST_UPDATE_MICROS = 10_000_000;

  private final TermContext context;
  private final ActiveJobs jobs;
  private final ExpectedTimes times;
  private final JobGoals goals;
  private final JobQueue queue;
  private final HeadroomDemand headroom;
  private final FleetSnapshotFactory snapshots;
  private final FleetReduction reduction;
  private final JobPlacer placer;
  private final PassResults results;
  private final Set<Machine> cordoned = new LinkedHashSet<>();

  /** Jobs of the current pass, and the index of the next job. */
  private List<Job> queued = List.of();

  private int nextJob;

  /** Fleet snapshot of the current pass; empty if no job is pending. */
  private Optional<FleetSnapshot> snapshot = Optional.empty();

  private long headroomCheckedMicros = Long.MIN_VALUE / 2;
  private long costsUpdatedMicros;
  private long spentMicros;

  /** Creates the scheduler of one term. Nothing is planned before the first {@link #run}. */
  public SchedulingPass(
      TermContext context,
      Fleet fleet,
      ActiveJobs jobs,
      StartedJobIndex startedJobs,
      RunTimeEstimates estimates,
      Failover failover) {
    this.context = context;
    this.jobs = jobs;
    this.times = new ExpectedTimes(context, estimates);
    TeamGuarantees guarantees = new TeamGuarantees(context);
    this.goals = new JobGoals(context, guarantees, times);
    this.headroom = new HeadroomDemand(context, goals);
    this.queue = new JobQueue(jobs, failover, guarantees, goals, headroom);
    MachineAvailability availability = new MachineAvailability(context, failover);
    this.snapshots = new FleetSnapshotFactory(context, fleet, availability, times);
    CandidateSearches searches = new CandidateSearches(context, goals, times);
    RentalCriteria criteria = new RentalCriteria(context, goals);
    this.reduction =
        new FleetReduction(context, failover, queue, snapshots, searches, criteria, headroom);
    this.results = new PassResults(new StartPlan(), new TeamQuotas(failover), new RentalDemands());
    this.placer =
        new JobPlacer(
            context,
            startedJobs,
            goals,
            searches,
            criteria,
            new Preemption(context, fleet, availability, goals),
            results);
  }

  /**
   * Places the pending jobs in scheduling order. Returns true if the pass is complete, and false if
   * the time budget was used up.
   */
  public boolean run() {
    long startMicros = context.loop().nowMicros();
    if (nextJob >= queued.size()) {
      beginPass(startMicros);
    }
    while (nextJob < queued.size()) {
      placer.place(queued.get(nextJob++), snapshot.orElseThrow());
      long usedMicros = context.loop().nowMicros() - startMicros;
      if (usedMicros > context.parameters().passBudgetMicros() && nextJob < queued.size()) {
        spentMicros += usedMicros;
        context.metrics().count("passes_cut");
        return false;
      }
    }
    completePass(startMicros);
    return true;
  }

  private void beginPass(long nowMicros) {
    results.clear();
    if (nowMicros - costsUpdatedMicros > COST_UPDATE_MICROS) {
      jobs.updateTaskDurations();
      costsUpdatedMicros = nowMicros;
    }
    jobs.propagateGoals();
    queued = queue.inSchedulingOrder(nowMicros);
    nextJob = 0;
    placer.beginPass();
    spentMicros = 0;
    snapshot =
        queued.isEmpty() ? Optional.empty() : Optional.of(snapshots.snapshot(nowMicros, cordoned));
  }

  private void completePass(long startMicros) {
    placer.endPass();
    Optional<RentalPlan.Demand> missingHeadroom = missingHeadroom(startMicros);
    snapshot = Optional.empty();
    long finishedMicros = context.loop().nowMicros();
    results.demands().publish(missingHeadroom, finishedMicros);
    spentMicros += finishedMicros - startMicros;
    context.metrics().recordDuration("pass", spentMicros);
  }

  /**
   * Returns the rental demand for capacity headroom (resources kept free for future jobs) that the
   * fleet lacks. If no job is pending and there is no demand, the check runs at most once per
   * {@link #HEADROOM_CHECK_MICROS}.
   */
  private Optional<RentalPlan.Demand> missingHeadroom(long nowMicros) {
    if (snapshot.isEmpty()
        && demands().isEmpty()
        && nowMicros - headroomCheckedMicros < HEADROOM_CHECK_MICROS) {
      return Optional.empty();
    }
    headroomCheckedMicros = nowMicros;
    return headroom.uncoveredDemand(
        snapshot.orElseGet(() -> snapshots.snapshot(nowMicros, cordoned)));
  }

  /**
   * Duration in microseconds of the last complete scheduling pass, excluding the pauses between its
   * parts.
   */
  public long spentMicros() {
    return spentMicros;
  }

  /** True if the last complete pass left out jobs that a further pass has to search. */
  public boolean hasLeftOut() {
    return placer.hasLeftOut();
  }

  /** Time at which the last complete pass ended and published {@link #demands}. */
  public long finishedMicros() {
    return results.demands().publishedMicros();
  }

  /** Rental demands of the last complete pass, most urgent first. */
  public List<RentalPlan.Demand> demands() {
    return results.demands().published();
  }

  /** Total cores of the pending tasks for which the last complete pass requested rentals. */
  public double requestedCores() {
    return results.demands().requestedCores();
  }

  /** Tasks planned for the machine. The next pass may change them. */
  public Iterable<PlannedTasks> planned(Machine machine) {
    return results.plannedStarts().on(machine);
  }

  /** True if any task is planned for the machine. */
  public boolean hasPlan(Machine machine) {
    return results.plannedStarts().hasAny(machine);
  }

  /**
   * True if a task whose job is stored as started is planned for the machine, so that it may start.
   */
  public boolean hasStartablePlan(Machine machine) {
    return results.plannedStarts().hasStartable(machine);
  }

  /** Discards the plan for the machine. */
  public void dropPlan(Machine machine) {
    results.plannedStarts().drop(machine);
  }

  /** Returns a copy of the ids of all machines with planned tasks. */
  List<String> plannedMachineIds() {
    return results.plannedStarts().machineIds();
  }

  /**
   * Returns the live set of cordoned machines, which callers modify. Cordoned machines are not
   * needed: they receive no new tasks and are returned to the cloud when they become idle.
   */
  public Set<Machine> cordoned() {
    return cordoned;
  }

  /**
   * True if the rest of the fleet serves all pending jobs in time and covers the capacity headroom.
   * Does not change the plan.
   */
  public boolean canRemoveMachines(Set<Machine> machines) {
    return reduction.canRemoveMachines(machines);
  }

  /**
   * True if the rest of the fleet serves all pending jobs in time. Ignores the capacity headroom,
   * because capacity for possible future jobs is less important than pending jobs of another shard.
   * Does not change the plan.
   */
  public boolean servesPendingJobsWithout(Set<Machine> machines) {
    return reduction.servesPendingJobsWithout(machines);
  }

  /** Estimated time in microseconds from the job's release to the end of its tasks. */
  public long durationMicros(Job job) {
    return times.durationMicros(job);
  }

  /** Event-loop time in microseconds at which the last task on the machine is expected to end. */
  public long expectedIdleMicros(Machine machine) {
    return times.idleMicros(machine, context.loop().nowMicros());
  }

  /**
   * Remaining work of all jobs that may run, with the time left until each job misses its latest
   * time of start or end.
   */
  public List<CoreDemand.RemainingWork> remainingWork() {
    long nowMicros = context.loop().nowMicros();
    List<CoreDemand.RemainingWork> works = new ArrayList<>();
    for (Job job : queue.unfinished()) {
      long durationMicros = times.durationMicros(job);
      works.add(
          new CoreDemand.RemainingWork(
              job.spec().team(),
              job.pendingCount() + job.liveAttemptCount(),
              job.spec().cores(),
              durationMicros,
              goals.remainingMicros(job, durationMicros, nowMicros)));
    }
    return works;
  }
}
