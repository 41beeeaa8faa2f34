package plumlever.leader.scheduling;

import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.placement.PlacementParameters;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;
import plumlever.placement.Zones;
import plumlever.wire.JobSpec;

/**
 * Builds the resource request of a job and starts placement searches over a fleet snapshot, with
 * the operator's placement parameters.
 */
final class CandidateSearches {
  private final TermContext context;
  private final JobGoals goals;
  private final ExpectedTimes times;
  private final Placer placer;

  CandidateSearches(TermContext context, JobGoals goals, ExpectedTimes times) {
    this.context = context;
    this.goals = goals;
    this.times = times;
    this.placer =
        new Placer(
            new PlacementParameters(
                context.parameters().runTimePadding(),
                context.parameters().tieTolerance(),
                context.costMatters() ? context.parameters().provisioningMicros() : 0,
                context.costMatters() ? 0 : context.parameters().spotRiskPremium()));
  }

  /**
   * Returns the resource request of one task of the job, with the job's current start objective.
   */
  ResourceRequest request(Job job, FleetSnapshot snapshot) {
    return request(job, snapshot, goals.startByMicros(job, snapshot.nowMicros()));
  }

  /** Returns the resource request of one task of the job, with the given latest start time. */
  ResourceRequest request(Job job, FleetSnapshot snapshot, long startByMicros) {
    ResourceRequest request = requestElsewhere(job, startByMicros, snapshot.nowMicros());
    return mayBePlacedElsewhere(job, request, snapshot)
        ? request
        : request.withoutExcludedMachines();
  }

  /**
   * Returns whether the task can have a machine on which no task of its job has failed: one has
   * free capacity now, or may soon have, or may be rented. A job that is probably the cause of its
   * failures gets no machine rented to avoid others.
   */
  private boolean mayBePlacedElsewhere(Job job, ResourceRequest request, FleetSnapshot snapshot) {
    return request.constraints().excludedMachines().isEmpty()
        || job.failures().worthWaiting(snapshot.nowMicros())
        || Placer.hasFreeCapacityNow(request, snapshot.candidates(), JobZones.of(job));
  }

  /** Returns the request that excludes the machines on which tasks of the job have failed. */
  private ResourceRequest requestElsewhere(Job job, long startByMicros, long nowMicros) {
    JobSpec spec = job.spec();
    return new ResourceRequest(
        new ResourceRequest.Resources(spec.cores(), spec.accelerators(), spec.memoryGb()),
        spec.image(),
        spec.imageGb(),
        new ResourceRequest.Timing(
            times.runMicros(job), goals.finishByMicros(job, nowMicros), startByMicros),
        new ResourceRequest.MachineConstraints(
            spec.machineTypes(),
            spec.zone(),
            spec.spotAllowed(),
            spec.savesCheckpoints(),
            job.failures().machines(nowMicros)));
  }

  /**
   * Starts a search for machines for the tasks of one job. Each committed choice reserves capacity
   * in the snapshot.
   */
  Placer.Search search(ResourceRequest request, Zones zones, FleetSnapshot snapshot) {
    context.metrics().count("candidates_evaluated", snapshot.candidates().size());
    return placer.search(request, snapshot.candidates(), zones, snapshot, snapshot.nowMicros());
  }
}
