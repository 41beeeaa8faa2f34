package plumlever.placement;

import java.util.List;

/**
 * Chooses machines for tasks. Machines on which the task meets its deadline and its latest start
 * time precede all others, whatever the score. Among these machines, the lowest score wins: price
 * per second times the task's dominant share of the machine times the time that the task occupies
 * the machine. Scores within the tie tolerance of the lowest score count as equal: busy machines
 * are preferred, then the most free memory, then the most free cores. If the task meets its times
 * on no machine, the machine on which it would run first is chosen.
 */
public final class Placer {
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final ChoiceRank[] RANKS = ChoiceRank.values();

  private final PlacementParameters parameters;

  /** Creates a placer with the given parameters. */
  public Placer(PlacementParameters parameters) {
    this.parameters = parameters;
  }

  /**
   * The machine and the start time chosen for one task.
   *
   * @param candidate index in the list of candidates; -1 if no candidate can ever run the task
   * @param startMicros time at which capacity for the task is free
   * @param feasible true if the task meets its deadline and latest start time even with the padded
   *     run time
   */
  public record Choice(int candidate, long startMicros, boolean feasible) {
    static final Choice NONE = new Choice(-1, Long.MAX_VALUE, false);

    /** False if no candidate can ever run the task. */
    public boolean exists() {
      return candidate >= 0;
    }
  }

  /**
   * Provides the time for which a task would wait for its image on a candidate; 0 if the machine
   * has the image.
   */
  public interface ImageFetchTimes {
    /** Returns the fetch time in microseconds of an image of the given size. */
    long micros(int candidate, String image, double imageGb);
  }

  /**
   * Starts a search for the tasks of one job, which all have the same request. Each committed
   * choice is subtracted from the candidate's capacity and counted by the zone constraints.
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
   * Chooses machines for the tasks of one job, one task at a time. Each candidate is scored once.
   * Free capacity only shrinks within a search, so once no candidate has a placement of a {@link
   * ChoiceRank}, that rank is not tried again.
   */
  public final class Search {
    private final CandidateScores scores;
    private final TieBand band;
    private EarliestRunQueue earliestRuns;
    private int rank;

    private Search(CandidateScores scores) {
      this.scores = scores;
      this.band = new TieBand(scores, parameters.tieTolerance(), RANKS[rank]);
    }

    /** Returns the choice for the next task without committing it. */
    public Choice next() {
      while (rank < RANKS.length) {
        int candidate = band.best();
        if (candidate >= 0) {
          return new Choice(candidate, scores.earliestStartMicros(candidate), RANKS[rank].padded);
        }
        rank++;
        if (rank < RANKS.length) {
          band.reset(RANKS[rank]);
        } else {
          earliestRuns = new EarliestRunQueue(scores);
        }
      }
      return earliestRuns.best();
    }

    /**
     * Commits the last choice that {@link #next} returned: subtracts the task's resources from the
     * candidate's capacity from the task's start time on.
     */
    public void commit(Choice choice) {
      scores.commit(choice);
      if (rank < RANKS.length) {
        band.onTopCapacityReduced();
      }
    }
  }

  /**
   * True if some candidate has free capacity for one task now. Needs less computation than a
   * search, which also computes scores and times.
   */
  public static boolean hasFreeCapacityNow(
      ResourceRequest request, List<PlacementCandidate> candidates, Zones zones) {
    for (PlacementCandidate candidate : candidates) {
      if (candidate.fitsNow(request.resources())
          && request.constraints().allow(candidate)
          && zones.allows(candidate.zone)
          && fitsEmptyMachine(request.dominantShare(candidate.shape))) {
        return true;
      }
    }
    return false;
  }

  /**
   * True if a task with the given dominant share (the largest fraction of any single machine
   * resource that the task needs) fits on an empty machine.
   */
  static boolean fitsEmptyMachine(double share) {
    return share <= 1 + ROUNDING_TOLERANCE;
  }
}
