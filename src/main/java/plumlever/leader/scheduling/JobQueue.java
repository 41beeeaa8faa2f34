package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import plumlever.fleet.Job;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;

/** Determines the order in which a scheduling pass handles the pending jobs. */
final class JobQueue {
  private final ActiveJobs jobs;
  private final Failover failover;
  private final TeamGuarantees guarantees;
  private final JobGoals goals;
  private final HeadroomDemand headroom;

  JobQueue(
      ActiveJobs jobs,
      Failover failover,
      TeamGuarantees guarantees,
      JobGoals goals,
      HeadroomDemand headroom) {
    this.jobs = jobs;
    this.failover = failover;
    this.guarantees = guarantees;
    this.goals = goals;
    this.headroom = headroom;
  }

  /**
   * True if tasks of the job may run: the job has not ended, its cancellation is not confirmed and
   * all its dependencies are done.
   */
  static boolean mayRun(Job job) {
    return !job.hasEnded() && !job.cancellationConfirmed() && !job.waitsForDependencies();
  }

  /** Returns all incomplete jobs whose tasks may run, in no particular order. */
  List<Job> unfinished() {
    List<Job> unfinished = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (!job.complete() && mayRun(job)) {
        unfinished.add(job);
      }
    }
    return unfinished;
  }

  /**
   * Returns the jobs with pending tasks that may start now, in scheduling order: first starving
   * jobs, oldest first; then jobs within their team's guarantee; then by priority; then jobs that
   * can still meet their goals before jobs that recently missed them; then by latest start time and
   * age.
   *
   * <p>Also assigns guarantees to new jobs and records their arrival for the capacity headroom.
   */
  List<Job> inSchedulingOrder(long nowMicros) {
    Set<Job> known = new HashSet<>(jobs.all());
    guarantees.retainAll(known);
    headroom.retainAll(known);
    List<Job> byAge = unfinished();
    byAge.sort(Comparator.comparingLong(Job::releasedMicros));
    guarantees.decide(byAge);
    byAge.forEach(job -> headroom.recordArrival(job, nowMicros));
    List<Job> pending = new ArrayList<>();
    for (Job job : byAge) {
      if (job.hasPending() && job.retryNotBeforeMicros() <= nowMicros && !failover.blocks(job)) {
        pending.add(job);
      }
    }
    sort(pending, nowMicros);
    return pending;
  }

  private void sort(List<Job> pending, long nowMicros) {
    Map<Job, Long> latestStarts = new HashMap<>();
    pending.forEach(job -> latestStarts.put(job, goals.latestStartMicros(job, nowMicros)));
    pending.sort(
        Comparator.<Job>comparingLong(
                job -> goals.isStarving(job, nowMicros) ? job.releasedMicros() : Long.MAX_VALUE)
            .thenComparingInt(job -> guarantees.covers(job) ? 0 : 1)
            .thenComparing(Job::priority)
            .thenComparingInt(
                job -> JobGoals.missedRecently(latestStarts.get(job), nowMicros) ? 1 : 0)
            .thenComparingLong(latestStarts::get)
            .thenComparingLong(Job::releasedMicros));
  }
}
