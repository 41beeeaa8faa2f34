package plumlever.sim;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * Models one thread of a controller that gets a small share of a processor. Work items queue, and
 * each occupies the thread for its cost in simulated time. Items cost far more in a process that
 * has just started, until it has done some work. Without costs every item runs immediately.
 */
final class Processor {
  /** Kinds of work items, which differ in cost. */
  enum Work {
    HEARTBEAT,
    REQUEST,
    RESPONSE,
    TIMER
  }

  /**
   * Simulated time that a work item of each kind takes. Measured with 6.1% of a core in the users'
   * benchmark with simulated machines, see docs/limits.md.
   *
   * @param startMicros time from the start of the process until the first work item runs
   * @param coldFactor factor by which the first work items of a process cost more than normal
   * @param warmAfterMicros amount of work after which items have their normal cost; until then the
   *     cost factor decreases linearly from {@code coldFactor}
   */
  record Costs(
      long heartbeatMicros,
      long requestMicros,
      long responseMicros,
      long timerMicros,
      double candidateMicros,
      long startMicros,
      double coldFactor,
      long warmAfterMicros) {
    static Costs smallShare() {
      return new Costs(1_500, 3_000, 2_000, 100, 4, 3_000_000, 20, 12_000_000);
    }
  }

  private record Item(Work work, Runnable action) {}

  private final SimulatedCluster cluster;
  private final Costs costs;
  private double slowdown;
  private final LongSupplier candidates;
  private final ArrayDeque<Item> queue = new ArrayDeque<>();
  private long freeAtMicros;
  private long workedMicros;
  private long candidatesBefore;
  private boolean running;

  /**
   * @param costs null if work costs no time
   * @param slowdown cost factor of this thread
   * @param candidates returns the number of placement candidates evaluated so far, each of which
   *     adds to the cost of the work item that evaluated it
   */
  Processor(SimulatedCluster cluster, Costs costs, double slowdown, LongSupplier candidates) {
    this.cluster = cluster;
    this.costs = costs;
    this.slowdown = slowdown;
    this.candidates = candidates;
    this.freeAtMicros = costs == null ? 0 : cluster.now() + costs.startMicros;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  void submit(Work work, Runnable action) {
    if (costs == null) {
      action.run();
      return;
    }
    queue.add(new Item(work, action));
    if (!running) {
      running = true;
      cluster.at(freeAtMicros - cluster.now(), this::runNext);
    }
  }

  private void runNext() {
    Item item = queue.poll();
    if (item == null) {
      running = false;
      return;
    }
    item.action.run();
    long candidatesNow = candidates.getAsLong();
    double baseMicros =
        switch (item.work) {
              case HEARTBEAT -> costs.heartbeatMicros;
              case REQUEST -> costs.requestMicros;
              case RESPONSE -> costs.responseMicros;
              case TIMER -> costs.timerMicros;
            }
            + Math.max(0, candidatesNow - candidatesBefore) * costs.candidateMicros;
    candidatesBefore = candidatesNow;
    double coldFactor =
        workedMicros >= costs.warmAfterMicros
            ? 1
            : costs.coldFactor - (costs.coldFactor - 1) * workedMicros / costs.warmAfterMicros;
    long tookMicros = (long) (baseMicros * coldFactor * slowdown);
    workedMicros += tookMicros;
    freeAtMicros = cluster.now() + tookMicros;
    cluster.at(tookMicros, this::runNext);
  }
}
