package plumlever.placement;

import java.util.Arrays;

/**
 * Heap of the candidates whose scores count as equal to the lowest score, with the preferred
 * candidate on top. Contains only candidates with a placement of one {@link ChoiceRank}. Free
 * capacity only shrinks during a search, so a candidate that has no placement of the rank never
 * gets one.
 */
final class TieBand {
  private static final int INITIAL_CAPACITY = 16;

  private final CandidateScores scores;
  private final double tieTolerance;
  private int[] heap = new int[INITIAL_CAPACITY];
  private int size;

  /**
   * Index in {@link CandidateScores#byScore} of the candidate with the lowest score among those
   * that have a placement of the current rank.
   */
  private int first;

  /**
   * Index in {@link CandidateScores#byScore} just after the last candidate whose score counts as
   * equal to the lowest one.
   */
  private int end;

  private ChoiceRank rank;

  TieBand(CandidateScores scores, double tieTolerance, ChoiceRank rank) {
    this.scores = scores;
    this.tieTolerance = tieTolerance;
    reset(rank);
  }

  /**
   * Empties the heap and starts again with the candidate of the lowest score, for placements of the
   * given rank.
   */
  void reset(ChoiceRank newRank) {
    rank = newRank;
    size = 0;
    first = 0;
    end = 0;
  }

  /**
   * Returns the preferred candidate for the next task, or -1 if no candidate has a placement of the
   * current rank.
   */
  int best() {
    int[] byScore = scores.byScore;
    while (first < byScore.length && !scores.isChoiceOfRank(byScore[first], rank)) {
      first++;
    }
    if (first == byScore.length) {
      return -1;
    }
    double maxScore = scores.score(byScore[first]) * (1 + tieTolerance);
    end = Math.max(end, first);
    while (end < byScore.length && scores.score(byScore[end]) <= maxScore) {
      if (scores.isChoiceOfRank(byScore[end], rank)) {
        push(byScore[end]);
      }
      end++;
    }
    while (!scores.isChoiceOfRank(heap[0], rank)) {
      heap[0] = heap[--size];
      siftDown();
    }
    return heap[0];
  }

  /** Restores the heap order after the free capacity of the top candidate has decreased. */
  void onTopCapacityReduced() {
    siftDown();
  }

  private void push(int candidate) {
    if (size == heap.length) {
      heap = Arrays.copyOf(heap, size * 2);
    }
    int index = size++;
    while (index > 0 && precedes(candidate, heap[(index - 1) / 2])) {
      heap[index] = heap[(index - 1) / 2];
      index = (index - 1) / 2;
    }
    heap[index] = candidate;
  }

  private void siftDown() {
    if (size == 0) {
      return;
    }
    int candidate = heap[0];
    int index = 0;
    while (2 * index + 1 < size) {
      int child = 2 * index + 1;
      if (child + 1 < size && precedes(heap[child + 1], heap[child])) {
        child++;
      }
      if (!precedes(heap[child], candidate)) {
        break;
      }
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = candidate;
  }

  private boolean precedes(int left, int right) {
    PlacementCandidate leftCandidate = scores.candidates.get(left);
    PlacementCandidate rightCandidate = scores.candidates.get(right);
    return isPreferred(leftCandidate, rightCandidate)
        || (!isPreferred(rightCandidate, leftCandidate) && left < right);
  }

  private static boolean isPreferred(PlacementCandidate left, PlacementCandidate right) {
    if (left.busy != right.busy) {
      return left.busy;
    }
    if (left.memoryGb != right.memoryGb) {
      return left.memoryGb > right.memoryGb;
    }
    return left.cores > right.cores;
  }
}
