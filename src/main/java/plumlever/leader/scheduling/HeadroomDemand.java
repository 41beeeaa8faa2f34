package plumlever.leader.scheduling;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.scaling.CapacityHeadroom;
import plumlever.scaling.RentalPlan;
import plumlever.wire.JobSpec;

/**
 * The capacity to keep free for work that has not come yet and, when it comes, must start sooner
 * than a machine can be rented.
 */
final class HeadroomDemand {
  private static final long ARRIVAL_WINDOW_MICROS = 120_000_000;

  private final TermContext context;
  private final JobGoals goals;
  private final CapacityHeadroom headroom;
  private final Set<Job> noted = new HashSet<>();

  HeadroomDemand(TermContext context, JobGoals goals) {
    this.context = context;
    this.goals = goals;
    this.headroom =
        new CapacityHeadroom(
            ARRIVAL_WINDOW_MICROS,
            context.parameters().rentalMicros(),
            context.parameters().headroomDeviations());
  }

  /** Forgets that other jobs were noted. */
  void retainAll(Set<Job> jobs) {
    noted.retainAll(jobs);
  }

  /** Counts a job once as an arrival if its start can't wait for a rental. */
  void noteArrival(Job job, long nowMicros) {
    long releasedMicros = job.releasedMicros();
    if (noted.add(job)
        && nowMicros - releasedMicros < ARRIVAL_WINDOW_MICROS
        && goals.startByMicros(job, releasedMicros) - releasedMicros
            < context.parameters().rentalMicros()) {
      headroom.jobArrived(nowMicros, job.spec());
    }
  }

  /** True if enough capacity is free or coming up. */
  boolean isCoveredBy(FleetSnapshot snapshot) {
    return snapshot.spareCores() >= headroom.requiredCores(snapshot.nowMicros());
  }

  /** What has to be rented so that there is enough; empty if there is, or nothing came lately. */
  Optional<RentalPlan.Demand> missing(FleetSnapshot snapshot) {
    double missingCores = headroom.requiredCores(snapshot.nowMicros()) - snapshot.spareCores();
    if (missingCores <= 0) {
      return Optional.empty();
    }
    return headroom
        .latestArrival()
        .filter(spec -> spec.cores() > 0)
        .map(spec -> demand(spec, missingCores));
  }

  private static RentalPlan.Demand demand(JobSpec spec, double missingCores) {
    return new RentalPlan.Demand(
        spec,
        Optional.empty(),
        (int) Math.ceil(missingCores / spec.cores()),
        ExpectedTimes.micros(spec.expectedRunS()));
  }
}
