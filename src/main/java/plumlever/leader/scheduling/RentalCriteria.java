package plumlever.leader.scheduling;

import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.placement.Placer;
import plumlever.placement.ResourceRequest;

/** Decides whether a machine should be rented for a task that no machine can serve in time. */
final class RentalCriteria {
  /** A task that would wait longer than this is rented for though its goal is missed anyhow. */
  private static final long LONG_WAIT_MICROS = 120_000_000;

  private final TermContext context;
  private final JobGoals goals;

  RentalCriteria(TermContext context, JobGoals goals) {
    this.context = context;
    this.goals = goals;
  }

  /** True if the task should not just wait for the booked start. */
  boolean needsRental(Job job, Placer.Choice booked, ResourceRequest request, long nowMicros) {
    long waitMicros = booked.startMicros() - nowMicros;
    if (!context.moneyMatters()) {
      return waitMicros > context.parameters().rentalMicros();
    }
    return !booked.feasible()
        && (rentalIsInTime(job, request, nowMicros) || waitMicros > LONG_WAIT_MICROS);
  }

  /** True if a machine rented now could still serve the task in time. */
  boolean rentalIsInTime(Job job, ResourceRequest request, long nowMicros) {
    long upMicros = nowMicros + context.parameters().rentalMicros();
    return upMicros <= goals.startByMicros(job, upMicros)
        && request.endsInTime(upMicros, request.runMicros());
  }

  /** True if the start goal leaves time to book on one rented machine before renting more. */
  boolean canRentStepwise(ResourceRequest request, long nowMicros) {
    return context.moneyMatters()
        && request.startByMicros() != ResourceRequest.ANY_TIME
        && request.startByMicros() - nowMicros > 2 * context.parameters().rentalMicros();
  }
}
