package plumlever.scaling;

import java.util.ArrayDeque;
import java.util.Optional;
import plumlever.wire.JobSpec;

/**
 * How much capacity to keep free for work that should start sooner than a machine can be rented. On
 * the whole as much comes free as comes in; what is needed beyond that is the spread of what comes
 * in while a machine is rented and comes up. Pure.
 */
public final class CapacityHeadroom {
  private final long windowMicros;
  private final long rentMicros;
  private final double deviations;
  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

  /** Of the cores of the arrivals. */
  private double sumOfSquares;

  private record Arrival(long atMicros, double cores, JobSpec job) {}

  /**
   * Headroom by what came lately; none before the first arrival.
   *
   * @param windowMicros arrivals longer ago than this are forgotten
   * @param rentMicros what it takes to rent a machine and have it up
   * @param deviations how many times the standard deviation is kept free
   */
  public CapacityHeadroom(long windowMicros, long rentMicros, double deviations) {
    this.windowMicros = windowMicros;
    this.rentMicros = rentMicros;
    this.deviations = deviations;
  }

  /** A job came whose start can't wait for a rental; to be called in the order of time. */
  public void jobArrived(long atMicros, JobSpec job) {
    double cores = job.taskCount() * job.cores();
    arrivals.add(new Arrival(atMicros, cores, job));
    sumOfSquares += cores * cores;
  }

  /** Cores that should be free or coming up; forgets arrivals that are too old. */
  public double requiredCores(long nowMicros) {
    while (!arrivals.isEmpty() && arrivals.peek().atMicros < nowMicros - windowMicros) {
      Arrival expired = arrivals.poll();
      // Rounding errors must not outlive the arrivals.
      sumOfSquares = arrivals.isEmpty() ? 0 : sumOfSquares - expired.cores * expired.cores;
    }
    return deviations * Math.sqrt(Math.max(0, sumOfSquares) * rentMicros / windowMicros);
  }

  /** The job that came last, which the next one is most likely like; empty if none came lately. */
  public Optional<JobSpec> latestArrival() {
    return Optional.ofNullable(arrivals.peekLast()).map(Arrival::job);
  }
}
