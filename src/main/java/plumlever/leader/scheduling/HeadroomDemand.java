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
 * Capacity headroom: resources kept free for future jobs whose start objective is shorter than the
 * time to rent a machine.
 */
final class HeadroomDemand {
  /** Time for which the arrival of a job counts towards the headroom. */
  private static final long ARRIVAL_WINDOW_MICROS = 120_000_000;

  private final TermContext context;
  private final JobGoals goals;
  private final CapacityHeadroom headroom;
  private final Set<Job> recordedJobs = new HashSet<>();

  HeadroomDemand(TermContext context, JobGoals goals) {
    this.context = context;
    this.goals = goals;
    this.headroom =
        new CapacityHeadroom(
            ARRIVAL_WINDOW_MICROS,
            context.parameters().provisioningMicros(),
            context.parameters().headroomDeviations());
  }

  /**
   * Removes the jobs outside the given set from the record of jobs whose arrival has been counted.
   */
  void retainAll(Set<Job> jobs) {
    recordedJobs.retainAll(jobs);
  }

  /**
   * Records the arrival of a job whose start objective is shorter than the time to rent a machine.
   * Each job is considered once. Jobs released before the arrival window are ignored.
   */
  void recordArrival(Job job, long nowMicros) {
    long releasedMicros = job.releasedMicros();
    if (recordedJobs.add(job)
        && nowMicros - releasedMicros < ARRIVAL_WINDOW_MICROS
        && goals.startByMicros(job, releasedMicros) - releasedMicros
            < context.parameters().provisioningMicros()) {
      headroom.recordArrival(nowMicros, job.spec());
    }
  }

  /**
   * True if the spare cores of the machines that are up or coming up cover the capacity headroom
   * (the cores to be kept free for future jobs).
   */
  boolean isCoveredBy(FleetSnapshot snapshot) {
    return snapshot.spareCores() >= headroom.requiredCores(snapshot.nowMicros());
  }

  /**
   * Returns the rental demand for the part of the capacity headroom (resources kept free for future
   * jobs) that spare cores do not cover. Empty if the headroom is covered or no jobs arrived
   * recently.
   */
  Optional<RentalPlan.Demand> uncoveredDemand(FleetSnapshot snapshot) {
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
        ExpectedTimes.secondsToMicros(spec.expectedRunS()));
  }
}
