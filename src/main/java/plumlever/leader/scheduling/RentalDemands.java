package plumlever.leader.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import plumlever.fleet.Job;
import plumlever.scaling.RentalPlan;

/** What waits for machines: gathered during a pass, published when the pass is complete. */
final class RentalDemands {
  private List<RentalPlan.Demand> gathered = new ArrayList<>();
  private List<RentalPlan.Demand> published = List.of();

  /** How many of the published demands are for work that has come already; these come first. */
  private int publishedForJobs;

  private long publishedMicros;

  /** A new pass begins; what is published stays. */
  void clear() {
    gathered = new ArrayList<>();
  }

  /** So many tasks of the job, each taking this long, need machines. */
  void add(Job job, int tasks, long runMicros) {
    gathered.add(new RentalPlan.Demand(job.spec(), job.boundZone(), tasks, runMicros));
  }

  /** Ends the pass: publishes what was gathered, and what is missing for work that may come. */
  void publish(Optional<RentalPlan.Demand> headroom, long nowMicros) {
    publishedForJobs = gathered.size();
    headroom.ifPresent(gathered::add);
    published = gathered;
    publishedMicros = nowMicros;
  }

  /** The demands of the last complete pass, the most urgent first. */
  List<RentalPlan.Demand> published() {
    return published;
  }

  /** When the last complete pass ended; 0 before the first. */
  long publishedMicros() {
    return publishedMicros;
  }

  /** Cores of all tasks that waited for machines in the last complete pass. */
  double waitingCores() {
    double cores = 0;
    for (RentalPlan.Demand demand : published.subList(0, publishedForJobs)) {
      cores += demand.tasks() * demand.job().cores();
    }
    return cores;
  }
}
