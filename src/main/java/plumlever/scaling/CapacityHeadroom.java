package plumlever.scaling;

import java.util.ArrayDeque;
import java.util.Optional;
import plumlever.wire.JobSpec;

/**
 * How much room must stand by for work that should start sooner than a machine can be rented. On
 * the whole as much comes free as comes in; what must be there is the spread of what comes in while
 * a machine is rented and comes up. Pure.
 */
public final class CapacityHeadroom {
  private record Arrival(long atMicros, double cores, JobSpec job) {}

  private final long windowMicros;
  private final long rentMicros;
  private final double deviations;
  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
  private double squares;

  /**
   * @param spreads how many times the standard deviation stands by
   */
  public CapacityHeadroom(long windowMicros, long rentMicros, double deviations) {
    this.windowMicros = windowMicros;
    this.rentMicros = rentMicros;
    this.deviations = deviations;
  }

  /** A job came whose start can't wait for a rental. */
  public void jobArrived(long atMicros, JobSpec job) {
    double cores = job.taskCount() * job.cores();
    arrivals.add(new Arrival(atMicros, cores, job));
    squares += cores * cores;
  }

  /** Cores that should be free or coming up. */
  public double requiredCores(long nowMicros) {
    while (!arrivals.isEmpty() && arrivals.peek().atMicros < nowMicros - windowMicros) {
      Arrival old = arrivals.poll();
      squares = arrivals.isEmpty() ? 0 : squares - old.cores * old.cores;
    }
    return deviations * Math.sqrt(Math.max(0, squares) * rentMicros / windowMicros);
  }

  /** The job that came last, which the next one is most likely like; empty if none came lately. */
  public Optional<JobSpec> latestArrival() {
    return Optional.ofNullable(arrivals.peekLast()).map(Arrival::job);
  }
}
