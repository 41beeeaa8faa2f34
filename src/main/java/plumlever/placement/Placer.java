package plumlever.placement;

import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The design's ordinary path. Machines that meet the deadline come before any score; of these the
 * least of price per second, times the task's largest machine share, times run time; scores within
 * the tie band go to machines already running work, then to the most free memory, then to the most
 * free processors.
 */
public final class Placer {
  /** Where one task goes: {@code candidate} is -1 if nowhere now. */
  public record Choice(int candidate, long startMicros, boolean feasible) {
    static final Choice NONE = new Choice(-1, Long.MAX_VALUE, false);

    /** False if there is no machine for the task, now or later. */
    public boolean exists() {
      return candidate >= 0;
    }
  }

  /** How long a machine would fetch an image that a task needs; 0 if it has it. */
  public interface ImageFetchTimes {
    long micros(int candidate, String image, double gb);
  }

  /**
   * Kinds of choice, the better ones first: padded now, padded later, then the design's second look
   * without padding.
   */
  private static final int KINDS = 4;

  /** What sums of fractions may be off by. */
  private static final double ROUNDING = 1e-9;

  private static final int UNPADDED = 2;

  private final double padding;
  private final double tie;
  private final long hedgeMicros;
  private final double spotRisk;

  /**
   * @param hedgeMicros the time that must be left when a task waits for others to end, so that a
   *     machine could still be rented for it
   * @param spotRisk share by which a spot machine seems dearer to a task that would lose its work
   *     with it
   */
  public Placer(double padding, double tie, long hedgeMicros, double spotRisk) {
    this.padding = padding;
    this.tie = tie;
    this.hedgeMicros = hedgeMicros;
    this.spotRisk = spotRisk;
  }

  /**
   * Tasks of one job, which are all alike, against all seats. Every seat is evaluated once and kept
   * in the command of its score; the tie band slides over that order as seats fill up. Within a
   * search room only shrinks, so a seat that is no choice for one kind of choice never becomes one
   * again, and a kind that has run out stays so.
   */
  public final class Search {
    private final ResourceRequest request;
    private final List<PlacementCandidate> candidates;
    private final Zones zones;
    private final long nowMicros;

    /** Until it could run once there is room: the command's way and the image. */
    private final long[] fetch;

    private final long[] run;
    private final double[] score;

    /** Seats that could ever take the task, the least score first. */
    private final int[] byScore;

    private final Band band = new Band();
    private final Soonest soonest = new Soonest();
    private int kind;

    private Search(
        ResourceRequest request,
        List<PlacementCandidate> candidates,
        Zones zones,
        ImageFetchTimes fetchTimes,
        long nowMicros) {
      this.request = request;
      this.candidates = candidates;
      this.zones = zones;
      this.nowMicros = nowMicros;
      int size = candidates.size();
      fetch = new long[size];
      run = new long[size];
      score = new double[size];
      long[] keys = new long[size];
      int count = 0;
      for (int i = 0; i < size; i++) {
        PlacementCandidate candidate = candidates.get(i);
        double share = request.share(candidate);
        if (share > 1 + ROUNDING || !request.allows(candidate)) {
          continue;
        }
        fetch[i] = candidate.delayMicros + fetchTimes.micros(i, request.image(), request.imageGb());
        run[i] = (long) (request.runMicros() * candidate.slowness);
        double risk = candidate.spot && !request.saves() ? 1 + spotRisk : 1;
        score[i] = candidate.pricePerS * share * risk * (fetch[i] + run[i]);
        // Scores are never negative, so their bits are in their order; the seat's number is in the
        // low half.
        keys[count++] = (long) Float.floatToIntBits((float) score[i]) << Integer.SIZE | i;
      }
      Arrays.sort(keys, 0, count);
      byScore = new int[count];
      for (int i = 0; i < count; i++) {
        byScore[i] = (int) keys[i];
      }
      band.begin(kind);
    }

    /** Where the next task goes; nothing is changed. */
    public Choice next() {
      while (kind < KINDS) {
        int candidate = band.best();
        if (candidate >= 0) {
          return new Choice(
              candidate, candidates.get(candidate).earliest(request, nowMicros), kind < UNPADDED);
        }
        kind++;
        if (kind < KINDS) {
          band.begin(kind);
        } else {
          soonest.begin();
        }
      }
      return soonest.best();
    }

    /** The task goes there: now, or booked for later. */
    public void commit(Choice choice) {
      PlacementCandidate candidate = candidates.get(choice.candidate);
      long end =
          choice.startMicros
              + fetch[choice.candidate]
              + (long) (run[choice.candidate] * (1 + padding));
      if (choice.startMicros <= nowMicros) {
        candidate.take(request);
        candidate.release(request, end);
      } else {
        candidate.book(request, choice.startMicros, end);
      }
      zones.add(candidate.zone);
      if (kind < KINDS) {
        band.changed();
      }
    }

    private boolean suits(int candidate, int asKind) {
      PlacementCandidate otherCandidate = candidates.get(candidate);
      if (!zones.allows(otherCandidate.zone)) {
        return false;
      }
      boolean later = (asKind & 1) == 1;
      if (otherCandidate.fitsNow(request) == later) {
        return false;
      }
      long start = otherCandidate.earliest(request, nowMicros);
      if (start == Long.MAX_VALUE || (start > nowMicros) != later) {
        return false;
      }
      double pad = asKind < UNPADDED ? padding : 0;
      long runs = start + fetch[candidate];
      // Room that others leave may come later than estimated; room on a machine that is booting
      // does not hang on that.
      if (pad > 0 && later && start > otherCandidate.upMicros()) {
        runs += hedgeMicros;
      }
      return runs <= request.startByMicros()
          && (request.deadlineMicros() == Long.MAX_VALUE
              || runs + (long) (run[candidate] * (1 + pad)) <= request.deadlineMicros());
    }

    /** The seats within the tie band of the least score, the winner of the tie on top. */
    private final class Band {
      private int[] heap = new int[16];
      private int size;
      private int anchor;
      private int end;
      private int asKind;

      void begin(int newKind) {
        asKind = newKind;
        size = 0;
        anchor = 0;
        end = 0;
      }

      /** The seat that takes the next task, or -1 when this kind of choice has run out. */
      int best() {
        while (anchor < byScore.length && !suits(byScore[anchor], asKind)) {
          anchor++;
        }
        if (anchor == byScore.length) {
          return -1;
        }
        double most = score[byScore[anchor]] * (1 + tie);
        end = Math.max(end, anchor);
        while (end < byScore.length && score[byScore[end]] <= most) {
          if (suits(byScore[end], asKind)) {
            push(byScore[end]);
          }
          end++;
        }
        while (!suits(heap[0], asKind)) {
          heap[0] = heap[--size];
          sink();
        }
        return heap[0];
      }

      /** The seat on top has less room than before. */
      void changed() {
        sink();
      }

      private void push(int candidate) {
        if (size == heap.length) {
          heap = Arrays.copyOf(heap, size * 2);
        }
        int index = size++;
        while (index > 0 && before(candidate, heap[(index - 1) / 2])) {
          heap[index] = heap[(index - 1) / 2];
          index = (index - 1) / 2;
        }
        heap[index] = candidate;
      }

      private void sink() {
        if (size == 0) {
          return;
        }
        int candidate = heap[0];
        int index = 0;
        while (2 * index + 1 < size) {
          int child = 2 * index + 1;
          if (child + 1 < size && before(heap[child + 1], heap[child])) {
            child++;
          }
          if (!before(heap[child], candidate)) {
            break;
          }
          heap[index] = heap[child];
          index = child;
        }
        heap[index] = candidate;
      }

      private boolean before(int first, int second) {
        PlacementCandidate leftCandidate = candidates.get(first);
        PlacementCandidate rightCandidate = candidates.get(second);
        return winsTie(leftCandidate, rightCandidate)
            || (!winsTie(rightCandidate, leftCandidate) && first < second);
      }
    }

    /** For a task that no machine can serve in time: the seat where it would run soonest. */
    private final class Soonest {
      private PriorityQueue<long[]> heap;

      void begin() {
        heap =
            new PriorityQueue<>(
                16, (a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        for (int i : byScore) {
          add(i);
        }
      }

      private void add(int candidate) {
        long start =
            zones.allows(candidates.get(candidate).zone)
                ? candidates.get(candidate).earliest(request, nowMicros)
                : Long.MAX_VALUE;
        if (start != Long.MAX_VALUE) {
          heap.add(new long[] {start + fetch[candidate], candidate});
        }
      }

      Choice best() {
        while (!heap.isEmpty()) {
          long[] top = heap.peek();
          int candidate = (int) top[1];
          long start =
              zones.allows(candidates.get(candidate).zone)
                  ? candidates.get(candidate).earliest(request, nowMicros)
                  : Long.MAX_VALUE;
          if (start != Long.MAX_VALUE && start + fetch[candidate] == top[0]) {
            return new Choice(candidate, start, false);
          }
          heap.poll();
          add(candidate);
        }
        return Choice.NONE;
      }
    }
  }

  public Search search(
      ResourceRequest request,
      List<PlacementCandidate> candidates,
      Zones zones,
      ImageFetchTimes fetchTimes,
      long nowMicros) {
    return new Search(request, candidates, zones, fetchTimes, nowMicros);
  }

  /**
   * True if some seat has room for one such task now: a quick look, where a search sees to score
   * and time as well.
   */
  public static boolean hasFreeCapacityNow(
      ResourceRequest request, List<PlacementCandidate> candidates, Zones zones) {
    for (PlacementCandidate candidate : candidates) {
      if (candidate.fitsNow(request)
          && request.allows(candidate)
          && zones.allows(candidate.zone)
          && request.share(candidate) <= 1 + ROUNDING) {
        return true;
      }
    }
    return false;
  }

  private static boolean winsTie(PlacementCandidate first, PlacementCandidate second) {
    if (first.busy != second.busy) {
      return first.busy;
    }
    if (first.memoryGb != second.memoryGb) {
      return first.memoryGb > second.memoryGb;
    }
    return first.cores > second.cores;
  }
}
