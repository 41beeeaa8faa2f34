package plumlever.scaling;

import java.util.ArrayDeque;
import java.util.Optional;
import plumlever.wire.JobSpec;

/**
 * Computes how many cores to keep free for jobs that have to start sooner than a machine can be
 * rented. Running tasks release about as many cores as arriving jobs need on average. The headroom
 * (the cores to keep free) covers the deviation from this average during the time to rent and boot
 * a machine. No I/O and no clock.
 */
public final class CapacityHeadroom {
  private final long windowMicros;
  private final long provisioningMicros;
  private final double deviations;
  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

  /** Sum of the squares of the core counts of the jobs that arrived within the window. */
  private double sumOfSquares;

  private record Arrival(long atMicros, double cores, JobSpec job) {}

  /**
   * Creates the computation without any recorded job arrivals.
   *
   * @param windowMicros age after which job arrivals are no longer considered
   * @param provisioningMicros time to rent and boot a machine
   * @param deviations number of standard deviations of the demand for cores to keep free
   */
  public CapacityHeadroom(long windowMicros, long provisioningMicros, double deviations) {
    this.windowMicros = windowMicros;
    this.provisioningMicros = provisioningMicros;
    this.deviations = deviations;
  }

  /**
   * Records that a job arrived that has to start sooner than a machine can be rented. Calls must be
   * in time order.
   */
  public void recordArrival(long atMicros, JobSpec job) {
    double cores = job.taskCount() * job.cores();
    arrivals.add(new Arrival(atMicros, cores, job));
    sumOfSquares += cores * cores;
  }

  /**
   * Returns the number of cores that should be free, on machines that are up or still starting up.
   * Removes job arrivals that are older than the window.
   */
  public double requiredCores(long nowMicros) {
    while (!arrivals.isEmpty() && arrivals.peek().atMicros < nowMicros - windowMicros) {
      Arrival expired = arrivals.poll();
      // When no arrival remains, the sum is set to 0, so that rounding errors do not accumulate.
      sumOfSquares = arrivals.isEmpty() ? 0 : sumOfSquares - expired.cores * expired.cores;
    }
    return deviations * Math.sqrt(Math.max(0, sumOfSquares) * provisioningMicros / windowMicros);
  }

  /**
   * Returns the job that arrived last, as a prediction of the next one; empty if no job arrived
   * recently.
   */
  public Optional<JobSpec> latestArrival() {
    return Optional.ofNullable(arrivals.peekLast()).map(Arrival::job);
  }
}
