package plumlever.leader.scheduling;

import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.job.StartedJobIndex;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;
import plumlever.placement.Zones;

/**
 * Places the tasks of one job in a scheduling pass: plans starts, preempts other tasks, books
 * capacity for a later start (reserves it for this pass), and records rental demand for the
 * remaining tasks.
 */
final class JobPlacer {
  /**
   * Maximum number of tasks per job and pass for which a later start is reserved on a machine.
   * Tasks that start at once are not counted.
   */
  private static final int MAX_BOOKED_PER_JOB = 64;

  private static final int MAX_PREEMPTIONS_PER_JOB = 48;

  private final Logger log;
  private final TermContext context;
  private final StartedJobIndex startedJobs;
  private final JobGoals goals;
  private final CandidateSearches searches;
  private final RentalCriteria criteria;
  private final Preemption preemption;
  private final TeamQuotas quotas;
  private final StartPlan plannedStarts;
  private final RentalDemands demands;
  private final SearchBudget searchBudget = new SearchBudget();

  JobPlacer(
      TermContext context,
      StartedJobIndex startedJobs,
      JobGoals goals,
      CandidateSearches searches,
      RentalCriteria criteria,
      Preemption preemption,
      PassResults results) {
    this.log = context.loggerProvider().of(JobPlacer.class);
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

  /** Begins a pass. */
  void beginPass() {
    searchBudget.beginPass();
  }

  /** Ends a complete pass. */
  void endPass() {
    searchBudget.endPass();
  }

  /** Returns whether a further pass is needed to search a machine for every kind of job. */
  boolean hasLeftOut() {
    return searchBudget.hasLeftOut();
  }

  /** Places as many pending tasks of the job as the team's quota and the machines allow. */
  void place(Job job, FleetSnapshot snapshot) {
    if (!JobQueue.mayRun(job) || !job.hasPending()) {
      return;
    }
    long nowMicros = snapshot.nowMicros();
    ResourceRequest request = searches.request(job, snapshot);
    Zones zones = JobZones.of(job);
    int tasks = Math.min(job.pendingCount(), tasksWithinQuota(job, nowMicros));
    if (tasks < 1) {
      return;
    }
    if (!Placer.hasFreeCapacityNow(request, snapshot.candidates(), zones)
        && !searchBudget.maySearch(job)) {
      if (!context.costMatters()) {
        demands.add(job, tasks, request.runMicros());
      }
      return;
    }
    new Placement(job, request, zones, snapshot).placeTasks(tasks);
  }

  /**
   * Returns how many more tasks of the job the team's quota allows. If the quota does not allow a
   * single task of a starving job, the resources of one task are reserved in the quota.
   */
  private int tasksWithinQuota(Job job, long nowMicros) {
    int tasks = quotas.headroomTasks(job);
    if (tasks < 1 && goals.isStarving(job, nowMicros)) {
      // Without the reservation, smaller tasks of the same team would take every part of the quota
      // that becomes free, and the starving job would never start.
      quotas.reserveTask(job);
    }
    return tasks;
  }

  /** Places the tasks of one job in one pass. */
  private final class Placement {
    private final Job job;
    private final Zones zones;
    private final FleetSnapshot snapshot;
    private final long nowMicros;
    private final Preemption.Search preemptionSearch;
    private ResourceRequest request;
    private Placer.Search search;
    private boolean preemptionExhausted;
    private boolean startGoalRelaxed;
    private int preemptions;
    private int bookedTasks;
    private int tasksNeedingRental;

    Placement(Job job, ResourceRequest request, Zones zones, FleetSnapshot snapshot) {
      this.job = job;
      this.request = request;
      this.zones = zones;
      this.snapshot = snapshot;
      this.nowMicros = snapshot.nowMicros();
      this.search = searches.search(request, zones, snapshot);
      this.preemptionSearch =
          preemption.search(job, request, goals.startByMicros(job, nowMicros), nowMicros);
    }

    void placeTasks(int tasks) {
      int remaining = tasks;
      while (remaining > 0) {
        remaining = placeNext(remaining);
      }
      if (tasksNeedingRental > 0) {
        demands.add(job, tasksNeedingRental, request.runMicros());
        logRentalDemand();
      }
    }

    private void logRentalDemand() {
      if (log.isDebugEnabled()) {
        log.debug(
            "job {}: {} of {} pending tasks need rented machines, {} tasks booked for later",
            job.uid(),
            tasksNeedingRental,
            job.pendingCount(),
            bookedTasks);
      }
    }

    /**
     * Places one task, or handles all remaining tasks at once. Returns the number of tasks that
     * remain.
     */
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
        // If the start goal leaves enough time, rent a single machine first. The next pass books
        // the other tasks on this machine or requests more machines.
        tasksNeedingRental += criteria.canRentStepwise(request, nowMicros) ? 1 : remaining;
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
      if (preemptionExhausted || preemptions >= MAX_PREEMPTIONS_PER_JOB) {
        return false;
      }
      preemptionExhausted = !preemptionSearch.preemptForOneTask();
      preemptions += preemptionExhausted ? 0 : 1;
      return !preemptionExhausted;
    }

    /**
     * Restarts the search with the next start objective that a machine rented now can meet. Called
     * when the fleet cannot meet the current start objective. Returns false, without a change, if
     * there is no later objective that applies, if the objective was already replaced, or if only
     * speed matters.
     */
    private boolean relaxStartGoal() {
      if (startGoalRelaxed || !context.costMatters()) {
        return false;
      }
      startGoalRelaxed = true;
      long nextStartByMicros =
          goals.startByMicros(job, nowMicros + context.parameters().provisioningMicros());
      if (nextStartByMicros <= request.startByMicros()) {
        return false;
      }
      request = searches.request(job, snapshot, nextStartByMicros);
      search = searches.search(request, zones, snapshot);
      return true;
    }

    private void planStart(Placer.Choice choice) {
      startedJobs.register(job);
      plannedStarts.add(snapshot.candidates().get(choice.candidate()).machineId(), job);
      quotas.reserveTask(job);
    }

    /**
     * Counts a task for which a later start is reserved, and decides whether a machine should be
     * rented for it. Returns the number of tasks that remain; 0 once the limit of booked tasks is
     * reached.
     */
    private int book(Placer.Choice choice, int remaining) {
      boolean needsRental = criteria.needsRental(job, choice, request, nowMicros);
      tasksNeedingRental += needsRental ? 1 : 0;
      if (++bookedTasks < MAX_BOOKED_PER_JOB) {
        return remaining - 1;
      }
      tasksNeedingRental += needsRental ? remaining - 1 : 0;
      return 0;
    }
  }
}
