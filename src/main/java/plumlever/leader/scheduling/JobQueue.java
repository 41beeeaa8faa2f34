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

/** The order in which a pass goes through the jobs that wait. */
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

  /** True while tasks of the job may run: it has not ended, and all its dependencies are done. */
  static boolean mayRun(Job job) {
    return !job.over() && !job.cancellationConfirmed() && !job.waitsForDependencies();
  }

  /** All jobs that have tasks left that may run, in no particular order. */
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
   * The jobs that wait for machines: what must begin first, the oldest first; then work within a
   * guarantee, then by priority, then what can still meet its goal, the most pressing first. Jobs
   * that are new are taken into account for guarantees and capacity headroom.
   */
  List<Job> inSchedulingOrder(long nowMicros) {
    Set<Job> known = new HashSet<>(jobs.all());
    guarantees.retainAll(known);
    headroom.retainAll(known);
    List<Job> byAge = unfinished();
    byAge.sort(Comparator.comparingLong(Job::releasedMicros));
    guarantees.decide(byAge);
    byAge.forEach(job -> headroom.noteArrival(job, nowMicros));
    List<Job> waiting = new ArrayList<>();
    for (Job job : byAge) {
      if (job.hasPending() && job.retryNotBeforeMicros() <= nowMicros && !failover.blocks(job)) {
        waiting.add(job);
      }
    }
    sort(waiting, nowMicros);
    return waiting;
  }

  private void sort(List<Job> waiting, long nowMicros) {
    Map<Job, Long> latestStarts = new HashMap<>();
    waiting.forEach(job -> latestStarts.put(job, goals.latestStartMicros(job, nowMicros)));
    waiting.sort(
        Comparator.<Job>comparingLong(
                job -> goals.mustBegin(job, nowMicros) ? job.releasedMicros() : Long.MAX_VALUE)
            .thenComparingInt(job -> guarantees.covers(job) ? 0 : 1)
            .thenComparing(Job::priority)
            .thenComparingInt(
                job -> JobGoals.missedRecently(latestStarts.get(job), nowMicros) ? 1 : 0)
            .thenComparingLong(latestStarts::get)
            .thenComparingLong(Job::releasedMicros));
  }
}
