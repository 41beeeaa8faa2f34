package plumlever.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Evaluates all candidates once for the tasks of one job: score, preparation time and run time on
 * each candidate. Free capacity and zone counts, which change as tasks are committed, are not
 * cached here but read from the candidates and the zone constraints.
 */
final class CandidateScores {
  final ResourceRequest request;
  final List<PlacementCandidate> candidates;
  final long nowMicros;

  /**
   * Indexes of the candidates whose machine could run the task when empty, in ascending order of
   * score.
   */
  final int[] byScore;

  private final PlacementParameters parameters;
  private final Zones zones;

  /**
   * For each candidate, the time from the start of the placement until the task runs: the latency
   * of the start command plus the time to fetch the image.
   */
  private final long[] preparationMicros;

  private final long[] runMicros;
  private final double[] score;

  CandidateScores(
      PlacementParameters parameters,
      ResourceRequest request,
      List<PlacementCandidate> candidates,
      Zones zones,
      Placer.ImageFetchTimes fetchTimes,
      long nowMicros) {
    this.parameters = parameters;
    this.request = request;
    this.candidates = candidates;
    this.zones = zones;
    this.nowMicros = nowMicros;
    int size = candidates.size();
    preparationMicros = new long[size];
    runMicros = new long[size];
    score = new double[size];
    byScore = evaluate(fetchTimes);
  }

  private int[] evaluate(Placer.ImageFetchTimes fetchTimes) {
    long[] sortKeys = new long[candidates.size()];
    int count = 0;
    for (int i = 0; i < candidates.size(); i++) {
      PlacementCandidate candidate = candidates.get(i);
      double share = request.dominantShare(candidate.shape);
      if (Placer.fitsEmptyMachine(share) && request.constraints().allow(candidate)) {
        preparationMicros[i] =
            candidate.commandDelayMicros + fetchTimes.micros(i, request.image(), request.imageGb());
        runMicros[i] = (long) (request.runMicros() * candidate.slowness);
        score[i] =
            candidate.shape.pricePerS()
                * share
                * riskFactor(candidate)
                * (preparationMicros[i] + runMicros[i]);
        // The key sorts by score: scores are never negative, so the bits of a float have the same
        // order as its value. The low half of the key holds the index of the candidate.
        sortKeys[count++] = (long) Float.floatToIntBits((float) score[i]) << Integer.SIZE | i;
      }
    }
    Arrays.sort(sortKeys, 0, count);
    int[] sorted = new int[count];
    for (int i = 0; i < count; i++) {
      sorted[i] = (int) sortKeys[i];
    }
    return sorted;
  }

  private double riskFactor(PlacementCandidate candidate) {
    return candidate.shape.spot() && !request.constraints().writesCheckpoints()
        ? 1 + parameters.spotRiskPremium()
        : 1;
  }

  double score(int candidate) {
    return score[candidate];
  }

  /**
   * Returns the earliest time at which the candidate has enough free resources for one task,
   * ignoring the zone constraints.
   */
  long earliestStartMicros(int candidate) {
    return candidates.get(candidate).earliestStartMicros(request.resources(), nowMicros);
  }

  /**
   * Returns the earliest time at which the task fits on the candidate, or Long.MAX_VALUE if the
   * zone constraints forbid one more task of the job in the candidate's zone.
   */
  long allowedStartMicros(int candidate) {
    return zones.allows(candidates.get(candidate).zone)
        ? earliestStartMicros(candidate)
        : Long.MAX_VALUE;
  }

  /**
   * Returns the time at which a task starts to run on the candidate if capacity for the task
   * becomes free at {@code startMicros}.
   */
  long runsAtMicros(int candidate, long startMicros) {
    return startMicros + preparationMicros[candidate];
  }

  /**
   * True if one more task may be placed on the candidate with a placement of the given rank. The
   * rank says whether the task starts now or later, and whether it meets its deadline and latest
   * start time with padded or with unpadded run time.
   */
  boolean isChoiceOfRank(int index, ChoiceRank rank) {
    PlacementCandidate candidate = candidates.get(index);
    if (!zones.allows(candidate.zone) || candidate.fitsNow(request.resources()) == rank.later) {
      return false;
    }
    long startMicros = candidate.earliestStartMicros(request.resources(), nowMicros);
    if (startMicros == Long.MAX_VALUE || (startMicros > nowMicros) != rank.later) {
      return false;
    }
    double padding = rank.padded ? parameters.runTimePadding() : 0;
    long runsAtMicros = startMicros + preparationMicros[index];
    // Running tasks may end later than estimated. The margin leaves time to rent a machine in that
    // case. Capacity that is free as soon as a machine is up does not depend on other tasks, so it
    // needs no margin.
    if (padding > 0 && rank.later && startMicros > candidate.upMicros()) {
      runsAtMicros += parameters.rentalMarginMicros();
    }
    return request.meetsTimes(runsAtMicros, (long) (runMicros[index] * (1 + padding)));
  }

  /**
   * Subtracts the resources of one task from the chosen candidate's capacity, now or, if the task
   * starts later, from its start time.
   */
  void commit(Placer.Choice choice) {
    int index = choice.candidate();
    PlacementCandidate candidate = candidates.get(index);
    long endMicros =
        choice.startMicros()
            + preparationMicros[index]
            + (long) (runMicros[index] * (1 + parameters.runTimePadding()));
    if (choice.startMicros() <= nowMicros) {
      candidate.start(request.resources(), endMicros);
    } else {
      candidate.book(request.resources(), choice.startMicros(), endMicros);
    }
    zones.add(candidate.zone);
  }
}
