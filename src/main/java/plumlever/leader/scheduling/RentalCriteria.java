package plumlever.leader.scheduling;

import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;

/** Decides whether to rent a machine for a task that the current fleet cannot serve in time. */
final class RentalCriteria {
  /**
   * A task that would miss its goals even on a rented machine still gets one if it would otherwise
   * wait longer than this for the machine on which it is booked.
   */
  private static final long LONG_WAIT_MICROS = 120_000_000;

  private final TermContext context;
  private final JobGoals goals;

  RentalCriteria(TermContext context, JobGoals goals) {
    this.context = context;
    this.goals = goals;
  }

  /**
   * True if a machine should be rented for the task instead of waiting for the reserved later start
   * on a machine of the fleet.
   */
  boolean needsRental(Job job, Placer.Choice booked, ResourceRequest request, long nowMicros) {
    long waitMicros = booked.startMicros() - nowMicros;
    if (!context.costMatters()) {
      return waitMicros > context.parameters().provisioningMicros();
    }
    return !booked.feasible()
        && (rentalIsInTime(job, request, nowMicros) || waitMicros > LONG_WAIT_MICROS);
  }

  /** True if the task would meet its goals on a machine rented now. */
  boolean rentalIsInTime(Job job, ResourceRequest request, long nowMicros) {
    long upMicros = nowMicros + context.parameters().provisioningMicros();
    return upMicros <= goals.startByMicros(job, upMicros)
        && request.meetsDeadline(upMicros, request.runMicros());
  }

  /**
   * True if the start goal leaves enough time to rent one machine, book tasks on it and rent more
   * machines later.
   */
  boolean canRentStepwise(ResourceRequest request, long nowMicros) {
    return context.costMatters()
        && request.startByMicros() != ResourceRequest.ANY_TIME
        && request.startByMicros() - nowMicros > 2 * context.parameters().provisioningMicros();
  }
}
