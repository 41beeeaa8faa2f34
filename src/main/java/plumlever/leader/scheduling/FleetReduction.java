package plumlever.leader.scheduling;

import java.util.Set;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;

/**
 * Checks whether the fleet can do without some machines, before they are cordoned or transferred to
 * another shard.
 */
final class FleetReduction {
  /**
   * Limit on the trial placements per job. A job with more pending tasks counts as not served in
   * time, so that the machines stay in the fleet.
   */
  private static final int MAX_TRIAL_TASKS_PER_JOB = 64;

  private final TermContext context;
  private final Failover failover;
  private final JobQueue queue;
  private final FleetSnapshotFactory snapshots;
  private final CandidateSearches searches;
  private final RentalCriteria criteria;
  private final HeadroomDemand headroom;

  FleetReduction(
      TermContext context,
      Failover failover,
      JobQueue queue,
      FleetSnapshotFactory snapshots,
      CandidateSearches searches,
      RentalCriteria criteria,
      HeadroomDemand headroom) {
    this.context = context;
    this.failover = failover;
    this.queue = queue;
    this.snapshots = snapshots;
    this.searches = searches;
    this.criteria = criteria;
    this.headroom = headroom;
  }

  /**
   * True if the remaining machines serve all pending jobs in time and cover the capacity headroom
   * (the resources kept free for future jobs).
   */
  boolean canRemoveMachines(Set<Machine> machines) {
    FleetSnapshot snapshot = snapshots.snapshot(context.loop().nowMicros(), machines);
    return servesPendingJobs(snapshot) && headroom.isCoveredBy(snapshot);
  }

  /**
   * True if the remaining machines serve all pending jobs in time. The capacity headroom is not
   * checked.
   */
  boolean servesPendingJobsWithout(Set<Machine> machines) {
    return servesPendingJobs(snapshots.snapshot(context.loop().nowMicros(), machines));
  }

  private boolean servesPendingJobs(FleetSnapshot snapshot) {
    for (Job job : queue.inSchedulingOrder(snapshot.nowMicros())) {
      if (!servesJob(job, snapshot)) {
        return false;
      }
    }
    return true;
  }

  private boolean servesJob(Job job, FleetSnapshot snapshot) {
    long nowMicros = snapshot.nowMicros();
    ResourceRequest request = searches.request(job, snapshot);
    Placer.Search search = searches.search(request, JobZones.of(job), snapshot);
    int tasks = Math.min(job.pendingCount(), failover.quotaHeadroom(job));
    for (int i = 0; i < tasks; i++) {
      Placer.Choice choice = search.next();
      if (!choice.exists()
          || (!choice.feasible() && criteria.rentalIsInTime(job, request, nowMicros))
          || i > MAX_TRIAL_TASKS_PER_JOB) {
        return false;
      }
      search.commit(choice);
    }
    return true;
  }
}
