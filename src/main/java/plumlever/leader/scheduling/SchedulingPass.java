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
 * The scheduling pass: which waiting tasks go to which machine, and what has to be rented for the
 * others. A plan binds nobody: it is made anew as things change, and each rule about a start is
 * checked again as the command is written ({@link TaskStarter}). A pass that uses up its time is
 * resumed with the next job when it is called again.
 */
public final class SchedulingPass {
  private static final long HEADROOM_CHECK_MICROS = 1_000_000;

  /** Pause between updates of the run times that dependency chains count with. */
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

  /** The jobs of the pass that is under way, and the next of them. */
  private List<Job> queued = List.of();

  private int nextJob;

  /** The machines as the pass that is under way sees them; none while nothing waits. */
  private Optional<FleetSnapshot> snapshot = Optional.empty();

  private long headroomCheckedMicros = Long.MIN_VALUE / 2;
  private long costsUpdatedMicros;
  private long spentMicros;

  /** The passes of one term; nothing is planned before the first run. */
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
    this.results =
        new PassResults(new PlannedStarts(), new TeamQuotas(failover), new RentalDemands());
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

  /** Goes through the jobs in scheduling order; true when it came to the end within its time. */
  public boolean run() {
    long startMicros = context.loop().nowMicros();
    if (nextJob >= queued.size()) {
      begin(startMicros);
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
    complete(startMicros);
    return true;
  }

  private void begin(long nowMicros) {
    results.clear();
    if (nowMicros - costsUpdatedMicros > COST_UPDATE_MICROS) {
      jobs.updateTaskCosts();
      costsUpdatedMicros = nowMicros;
    }
    jobs.propagateGoals();
    queued = queue.inSchedulingOrder(nowMicros);
    nextJob = 0;
    placer.clear();
    spentMicros = 0;
    snapshot =
        queued.isEmpty() ? Optional.empty() : Optional.of(snapshots.snapshot(nowMicros, cordoned));
  }

  private void complete(long startMicros) {
    Optional<RentalPlan.Demand> missingHeadroom = missingHeadroom(startMicros);
    snapshot = Optional.empty();
    long finishedMicros = context.loop().nowMicros();
    results.demands().publish(missingHeadroom, finishedMicros);
    spentMicros += finishedMicros - startMicros;
    context.metrics().recordDuration("pass", spentMicros);
  }

  /** Where nothing waits, the machines are looked at for their free capacity only now and then. */
  private Optional<RentalPlan.Demand> missingHeadroom(long nowMicros) {
    if (snapshot.isEmpty()
        && demands().isEmpty()
        && nowMicros - headroomCheckedMicros < HEADROOM_CHECK_MICROS) {
      return Optional.empty();
    }
    headroomCheckedMicros = nowMicros;
    return headroom.missing(snapshot.orElseGet(() -> snapshots.snapshot(nowMicros, cordoned)));
  }

  /** What the last complete pass took, without the pauses in it. */
  public long spentMicros() {
    return spentMicros;
  }

  /** When the last complete pass ended, and {@link #demands} were found. */
  public long finishedMicros() {
    return results.demands().publishedMicros();
  }

  /** What waits for machines, as of the last complete pass; the most urgent first. */
  public List<RentalPlan.Demand> demands() {
    return results.demands().published();
  }

  /** Cores of the tasks that wait for machines, as of the last complete pass. */
  public double waitingCores() {
    return results.demands().waitingCores();
  }

  /** The tasks planned for the machine; they may be changed by the next pass. */
  public Iterable<PlannedTasks> planned(Machine machine) {
    return results.plannedStarts().on(machine);
  }

  /** True if any task is planned for the machine. */
  public boolean hasPlan(Machine machine) {
    return results.plannedStarts().hasAny(machine);
  }

  /** True if a planned task may be started: its job is on record. */
  public boolean hasRecordedPlan(Machine machine) {
    return results.plannedStarts().hasRecorded(machine);
  }

  /** Forgets what is planned for the machine. */
  public void dropPlan(Machine machine) {
    results.plannedStarts().drop(machine);
  }

  /** A copy of the names of the machines for which tasks are planned. */
  List<String> plannedMachineIds() {
    return results.plannedStarts().machineIds();
  }

  /**
   * Machines that are cordoned: they get no new tasks, because the others will do, and are returned
   * once they are empty. The caller adds to and removes from the set.
   */
  public Set<Machine> cordoned() {
    return cordoned;
  }

  /**
   * True if all that waits would still be served in time without these machines, and enough
   * capacity headroom were left. No plan is changed.
   */
  public boolean canDoWithout(Set<Machine> machines) {
    return reduction.canDoWithout(machines);
  }

  /**
   * The same without regard to headroom: capacity for work that may come counts less than what
   * waits in another shard.
   */
  public boolean servesWaitingWithout(Set<Machine> machines) {
    return reduction.servesWaitingWithout(machines);
  }

  /** What a task of the job is expected to take from its release on, in microseconds. */
  public long costMicros(Job job) {
    return times.costMicros(job);
  }

  /** When the last task that runs on the machine should end, in microseconds of the loop. */
  public long expectedIdleMicros(Machine machine) {
    return times.idleMicros(machine, context.loop().nowMicros());
  }

  /** What is left of the jobs that may run, and the time that each has left. */
  public List<CoreDemand.Work> remainingWork() {
    long nowMicros = context.loop().nowMicros();
    List<CoreDemand.Work> works = new ArrayList<>();
    for (Job job : queue.unfinished()) {
      long costMicros = times.costMicros(job);
      works.add(
          new CoreDemand.Work(
              job.spec().team(),
              job.pendingCount() + job.liveAttemptCount(),
              job.spec().cores(),
              costMicros,
              goals.remainingMicros(job, costMicros, nowMicros)));
    }
    return works;
  }
}
