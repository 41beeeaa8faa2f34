package plumlever.leader.scheduling;

import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.StartedJobIndex;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;
import plumlever.placement.Zones;

/**
 * Places the tasks of one job after the other: plans starts, preempts, books capacity that comes
 * free later, and asks for machines for the rest.
 */
final class JobPlacer {
  /** Tasks of one job in one pass beyond those that start at once. */
  private static final int MAX_BOOKED_PER_JOB = 64;

  private static final int MAX_PREEMPTING_PER_JOB = 48;

  /** Jobs in one pass that are searched for though no machine has free capacity for them now. */
  private static final int MAX_SEARCHED_WITHOUT_CAPACITY = 24;

  private final Logger log;
  private final TermContext context;
  private final StartedJobIndex startedJobs;
  private final JobGoals goals;
  private final CandidateSearches searches;
  private final RentalCriteria criteria;
  private final Preemption preemption;
  private final TeamQuotas quotas;
  private final PlannedStarts plannedStarts;
  private final RentalDemands demands;
  private int jobsWithoutCapacity;

  JobPlacer(
      TermContext context,
      StartedJobIndex startedJobs,
      JobGoals goals,
      CandidateSearches searches,
      RentalCriteria criteria,
      Preemption preemption,
      PassResults results) {
    this.log = context.logs().of(JobPlacer.class);
    this.context = context;
    this.startedJobs = startedJobs;
    this.goals = goals;
    this.searches = searches;
    this.criteria = criteria;
    this.preemption = preemption;
    this.quotas = results.quotas();
    this.plannedStarts = results.plannedStarts();
    this.demands = results.demands();
  }

  /** A new pass begins. */
  void clear() {
    jobsWithoutCapacity = 0;
  }

  /** Places as many of the job's tasks as its team's quota and the machines allow. */
  void place(Job job, FleetSnapshot snapshot) {
    if (!JobQueue.mayRun(job) || !job.hasPending()) {
      return;
    }
    long nowMicros = snapshot.nowMicros();
    ResourceRequest request = searches.request(job, nowMicros);
    Zones zones = JobZones.of(job);
    int tasks = Math.min(job.pendingCount(), quotaTasks(job, nowMicros));
    if (tasks < 1) {
      return;
    }
    if (!Placer.hasFreeCapacityNow(request, snapshot.candidates(), zones)
        && ++jobsWithoutCapacity > MAX_SEARCHED_WITHOUT_CAPACITY) {
      // Behind so many that wait as well there is no machine that could be booked for soon; where
      // hundreds of jobs wait in a full fleet, searching for each would take longer than until the
      // next urgent one comes.
      if (!context.moneyMatters()) {
        demands.add(job, tasks, request.runMicros());
      }
      return;
    }
    new Placement(job, request, zones, snapshot).placeTasks(tasks);
  }

  /** The tasks that the team's quota allows; a job that must begin keeps a task's worth of it. */
  private int quotaTasks(Job job, long nowMicros) {
    int tasks = quotas.headroomTasks(job);
    if (tasks < 1 && goals.mustBegin(job, nowMicros)) {
      // What its team's smaller tasks leave of the limit would go to the next of them, again and
      // again.
      quotas.reserveTask(job);
    }
    return tasks;
  }

  /** The placement of one job's tasks in one pass. */
  private final class Placement {
    private final Job job;
    private final Zones zones;
    private final FleetSnapshot snapshot;
    private final long nowMicros;
    private final Preemption.Search victims;
    private ResourceRequest request;
    private Placer.Search search;
    private boolean preemptionExhausted;
    private boolean startGoalRelaxed;
    private int preempting;
    private int booked;
    private int waiting;

    Placement(Job job, ResourceRequest request, Zones zones, FleetSnapshot snapshot) {
      this.job = job;
      this.request = request;
      this.zones = zones;
      this.snapshot = snapshot;
      this.nowMicros = snapshot.nowMicros();
      this.search = searches.search(request, zones, snapshot);
      this.victims =
          preemption.search(job, request, goals.startByMicros(job, nowMicros), nowMicros);
    }

    void placeTasks(int tasks) {
      int remaining = tasks;
      while (remaining > 0) {
        remaining = placeNext(remaining);
      }
      if (waiting > 0) {
        demands.add(job, waiting, request.runMicros());
        logWaiting();
      }
    }

    private void logWaiting() {
      if (log.isDebugEnabled()) {
        log.debug(
            "{}: {} of {} free tasks wait for machines, {} booked",
            job.uid(),
            waiting,
            job.pendingCount(),
            booked);
      }
    }

    /** Decides about one task, or about all that remain; returns how many remain after it. */
    private int placeNext(int remaining) {
      Placer.Choice choice = search.next();
      if (!choice.feasible() && choice.startMicros() > nowMicros) {
        if (preemptForOneTask()) {
          return remaining - 1;
        }
        if (relaxStartGoal()) {
          return remaining;
        }
      }
      if (!choice.exists()) {
        // With time to spare one machine is a start: the rest is booked on it, or found short, in
        // the next pass.
        waiting += criteria.canRentStepwise(request, nowMicros) ? 1 : remaining;
        return 0;
      }
      search.commit(choice);
      if (choice.startMicros() <= nowMicros) {
        planStart(choice);
        return remaining - 1;
      }
      return book(choice, remaining);
    }

    private boolean preemptForOneTask() {
      if (preemptionExhausted || preempting >= MAX_PREEMPTING_PER_JOB) {
        return false;
      }
      preemptionExhausted = !victims.preemptForOneTask();
      preempting += preemptionExhausted ? 0 : 1;
      return !preemptionExhausted;
    }

    /**
     * No machine that is rented now would be up for the present goal, so what is booked or rented
     * is for the next one. True if there is one, and the search began anew with it.
     */
    private boolean relaxStartGoal() {
      if (startGoalRelaxed || !context.moneyMatters()) {
        return false;
      }
      startGoalRelaxed = true;
      long nextStartByMicros =
          goals.startByMicros(job, nowMicros + context.parameters().rentalMicros());
      if (nextStartByMicros <= request.startByMicros()) {
        return false;
      }
      request = searches.request(job, nowMicros, nextStartByMicros);
      search = searches.search(request, zones, snapshot);
      return true;
    }

    private void planStart(Placer.Choice choice) {
      startedJobs.register(job);
      plannedStarts.add(snapshot.candidates().get(choice.candidate()).machineId(), job);
      quotas.reserveTask(job);
    }

    private int book(Placer.Choice choice, int remaining) {
      boolean rental = criteria.needsRental(job, choice, request, nowMicros);
      waiting += rental ? 1 : 0;
      if (++booked < MAX_BOOKED_PER_JOB) {
        return remaining - 1;
      }
      waiting += rental ? remaining - 1 : 0;
      return 0;
    }
  }
}
