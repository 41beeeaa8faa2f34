package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import plumlever.fleet.Job;
import plumlever.scaling.RentalPlan;

/** Demand for rentals: collected during a pass and published when the pass is complete. */
final class RentalDemands {
  private List<RentalPlan.Demand> collected = new ArrayList<>();
  private List<RentalPlan.Demand> published = List.of();

  /**
   * Number of published rental demands that belong to pending jobs. They precede the demand for
   * capacity headroom, which serves future jobs.
   */
  private int publishedForJobs;

  private long publishedMicros;

  /**
   * Starts to collect the rental demands of a new pass. The demands published by the last pass are
   * kept.
   */
  void clear() {
    collected = new ArrayList<>();
  }

  /** Adds demand for machines for the given number of tasks of the job. */
  void add(Job job, int tasks, long runMicros) {
    collected.add(new RentalPlan.Demand(job.spec(), job.boundZone(), tasks, runMicros));
  }

  /**
   * Ends the pass: publishes the collected demands, followed by the demand for missing capacity
   * headroom (resources kept free for future jobs).
   */
  void publish(Optional<RentalPlan.Demand> headroom, long nowMicros) {
    publishedForJobs = collected.size();
    headroom.ifPresent(collected::add);
    published = collected;
    publishedMicros = nowMicros;
  }

  /** Rental demands of the last complete scheduling pass, most urgent first. */
  List<RentalPlan.Demand> published() {
    return published;
  }

  /** Time at which the last complete scheduling pass ended; 0 before the first pass has ended. */
  long publishedMicros() {
    return publishedMicros;
  }

  /** Total cores of the pending tasks for which the last complete pass requested rentals. */
  double requestedCores() {
    double cores = 0;
    for (RentalPlan.Demand demand : published.subList(0, publishedForJobs)) {
      cores += demand.tasks() * demand.job().cores();
    }
    return cores;
  }
}
