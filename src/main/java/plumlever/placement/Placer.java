package plumlever.placement;

import java.util.List;

/**
 * Chooses machines for tasks, as the design says. Machines that meet the task's times come before
 * any score; of these the least of price per second, times the task's largest share of the machine,
 * times run time; scores within the tie band go to machines that run tasks already, then to the
 * most free memory, then to the most free cores.
 */
public final class Placer {
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final ChoiceRank[] RANKS = ChoiceRank.values();

  private final PlacementParameters parameters;

  /** Chooses by these parameters. */
  public Placer(PlacementParameters parameters) {
    this.parameters = parameters;
  }

  /**
   * Where one task goes.
   *
   * @param candidate position in the list of candidates; -1 if the task fits on none, now or later
   * @param startMicros when its capacity is free
   * @param feasible whether it is in time, with the padding of its run time
   */
  public record Choice(int candidate, long startMicros, boolean feasible) {
    static final Choice NONE = new Choice(-1, Long.MAX_VALUE, false);

    /** False if there is no machine for the task, now or later. */
    public boolean exists() {
      return candidate >= 0;
    }
  }

  /** How long a candidate would fetch an image; 0 if it has it. */
  public interface ImageFetchTimes {
    /** In microseconds, for an image of so many gigabytes. */
    long micros(int candidate, String image, double imageGb);
  }

  /**
   * Begins a search for tasks of one job, which are all alike. What it commits is taken from the
   * candidates and counted by the zone rules.
   */
  public Search search(
      ResourceRequest request,
      List<PlacementCandidate> candidates,
      Zones zones,
      ImageFetchTimes fetchTimes,
      long nowMicros) {
    return new Search(
        new CandidateScores(parameters, request, candidates, zones, fetchTimes, nowMicros));
  }

  /**
   * Chooses for the tasks of one job, one after the other. Each candidate is evaluated once; the
   * tie band slides over the order of scores as machines fill up. Within a search free capacity
   * only shrinks, so a rank that has run out of choices stays so.
   */
  public final class Search {
    private final CandidateScores scores;
    private final TieBand band;
    private SoonestRuns soonest;
    private int rank;

    private Search(CandidateScores scores) {
      this.scores = scores;
      this.band = new TieBand(scores, parameters.tieShare(), RANKS[rank]);
    }

    /** Where the next task goes; nothing is changed. */
    public Choice next() {
      while (rank < RANKS.length) {
        int candidate = band.best();
        if (candidate >= 0) {
          return new Choice(candidate, scores.earliestStartMicros(candidate), RANKS[rank].padded);
        }
        rank++;
        if (rank < RANKS.length) {
          band.begin(RANKS[rank]);
        } else {
          soonest = new SoonestRuns(scores);
        }
      }
      return soonest.best();
    }

    /** The task goes to the choice that {@link #next} returned last: now, or booked for later. */
    public void commit(Choice choice) {
      scores.commit(choice);
      if (rank < RANKS.length) {
        band.topChanged();
      }
    }
  }

  /**
   * True if some candidate has free capacity for one such task now; cheaper than a search, which
   * sees to scores and times as well.
   */
  public static boolean hasFreeCapacityNow(
      ResourceRequest request, List<PlacementCandidate> candidates, Zones zones) {
    for (PlacementCandidate candidate : candidates) {
      if (candidate.fitsNow(request.resources())
          && request.rules().allow(candidate)
          && zones.allows(candidate.zone)
          && fitsWhole(request.share(candidate.shape))) {
        return true;
      }
    }
    return false;
  }

  /** True if a task that takes this share of a machine fits when the machine is empty. */
  static boolean fitsWhole(double share) {
    return share <= 1 + ROUNDING_TOLERANCE;
  }
}
