package plumlever.placement;

import java.util.PriorityQueue;

/**
 * Orders candidates by the earliest time at which a task would run. Used for tasks that meet their
 * deadline and latest start time on no candidate.
 */
final class EarliestRunQueue {
  private final CandidateScores scores;
  private final PriorityQueue<Run> queue = new PriorityQueue<>();

  EarliestRunQueue(CandidateScores scores) {
    this.scores = scores;
    for (int candidate : scores.byScore) {
      add(candidate);
    }
  }

  /**
   * A candidate and the time at which a task would run on it. The time may be outdated once another
   * task has been placed on the candidate.
   */
  private record Run(long atMicros, int candidate) implements Comparable<Run> {
    @Override
    public int compareTo(Run run) {
      int byTime = Long.compare(atMicros, run.atMicros);
      return byTime != 0 ? byTime : Integer.compare(candidate, run.candidate);
    }
  }

  private void add(int candidate) {
    long startMicros = scores.allowedStartMicros(candidate);
    if (startMicros != Long.MAX_VALUE) {
      queue.add(new Run(scores.runsAtMicros(candidate, startMicros), candidate));
    }
  }

  /** Returns the placement of the next task on the candidate where the task would run earliest. */
  Placer.Choice best() {
    while (!queue.isEmpty()) {
      Run run = queue.peek();
      long startMicros = scores.allowedStartMicros(run.candidate);
      if (startMicros != Long.MAX_VALUE
          && scores.runsAtMicros(run.candidate, startMicros) == run.atMicros) {
        return new Placer.Choice(run.candidate, startMicros, false);
      }
      queue.poll();
      add(run.candidate);
    }
    return Placer.Choice.NONE;
  }
}
