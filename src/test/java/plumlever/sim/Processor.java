package plumlever.sim;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * One thread of a controller on little processor: what it has to do waits in line, and each thing
 * takes its time, far longer while the process is cold. Without costs everything is done at once.
 */
final class Processor {
  /** Kinds of work that are charged for. */
  enum Work {
    HEARTBEAT,
    REQUEST,
    ANSWER,
    TIMER
  }

  /**
   * What work takes by the clock. Measured at 6.1% of a core on the users' bench (simulated
   * machines), see docs/limits.md.
   *
   * @param startMicros until a process that has begun does anything
   * @param coldTimes how many times as long things take at first
   * @param warmAfterMicros work done until they take no longer than usual
   */
  record Costs(
      long heartbeatMicros,
      long requestMicros,
      long answerMicros,
      long timerMicros,
      double candidateMicros,
      long startMicros,
      double coldTimes,
      long warmAfterMicros) {
    static Costs little() {
      return new Costs(1_500, 3_000, 2_000, 100, 4, 3_000_000, 20, 12_000_000);
    }
  }

  private record Item(Work work, Runnable action) {}

  private final SimulatedCluster cluster;
  private final Costs costs;
  private double slower;
  private final LongSupplier candidates;
  private final ArrayDeque<Item> line = new ArrayDeque<>();
  private long freeAt;
  private long worked;
  private long candidatesBefore;
  private boolean running;

  /**
   * @param candidates candidates evaluated so far, each of which takes its time
   */
  Processor(SimulatedCluster cluster, Costs costs, double slower, LongSupplier candidates) {
    this.cluster = cluster;
    this.costs = costs;
    this.slower = slower;
    this.candidates = candidates;
    this.freeAt = costs == null ? 0 : cluster.now() + costs.startMicros;
  }

  void slower(double times) {
    slower = times;
  }

  void take(Work work, Runnable action) {
    if (costs == null) {
      action.run();
      return;
    }
    line.add(new Item(work, action));
    if (!running) {
      running = true;
      cluster.at(freeAt - cluster.now(), this::next);
    }
  }

  private void next() {
    Item item = line.poll();
    if (item == null) {
      running = false;
      return;
    }
    item.action.run();
    long candidatesNow = candidates.getAsLong();
    double plain =
        switch (item.work) {
              case HEARTBEAT -> costs.heartbeatMicros;
              case REQUEST -> costs.requestMicros;
              case ANSWER -> costs.answerMicros;
              case TIMER -> costs.timerMicros;
            }
            + Math.max(0, candidatesNow - candidatesBefore) * costs.candidateMicros;
    candidatesBefore = candidatesNow;
    double cold =
        worked >= costs.warmAfterMicros
            ? 1
            : costs.coldTimes - (costs.coldTimes - 1) * worked / costs.warmAfterMicros;
    long took = (long) (plain * cold * slower);
    worked += took;
    freeAt = cluster.now() + took;
    cluster.at(took, this::next);
  }
}
