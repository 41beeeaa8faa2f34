package plumlever.placement;

import java.util.Arrays;
import java.util.List;

/**
 * All candidates evaluated once for the tasks of one job: what the task would cost on each, and
 * whether it would be in time there. What changes as tasks are committed is asked of the
 * candidates.
 */
final class CandidateScores {
  final ResourceRequest request;
  final List<PlacementCandidate> candidates;
  final long nowMicros;

  /** Candidates whose machine could ever take the task, the least score first. */
  final int[] byScore;

  private final PlacementParameters parameters;
  private final Zones zones;

  /** By candidate, the time from free capacity to the run: the command's way and the image. */
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
      double share = request.share(candidate.shape);
      if (Placer.fitsWhole(share) && request.rules().allow(candidate)) {
        preparationMicros[i] =
            candidate.commandDelayMicros + fetchTimes.micros(i, request.image(), request.imageGb());
        runMicros[i] = (long) (request.runMicros() * candidate.slowness);
        score[i] =
            candidate.shape.pricePerS()
                * share
                * riskFactor(candidate)
                * (preparationMicros[i] + runMicros[i]);
        // Scores are never negative, so the order of their bits is theirs; the candidate's number
        // is in the low half.
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
    return candidate.shape.spot() && !request.rules().checkpoints() ? 1 + parameters.spotRisk() : 1;
  }

  double score(int candidate) {
    return score[candidate];
  }

  /** The earliest time at which the task fits on the candidate, whatever the zone rules say. */
  long earliestStartMicros(int candidate) {
    return candidates.get(candidate).earliestStartMicros(request.resources(), nowMicros);
  }

  /** The same, but Long.MAX_VALUE where the zone rules forbid one more task of the job. */
  long allowedStartMicros(int candidate) {
    return zones.allows(candidates.get(candidate).zone)
        ? earliestStartMicros(candidate)
        : Long.MAX_VALUE;
  }

  /** When a task that gets its capacity at the given time would run. */
  long runsAtMicros(int candidate, long startMicros) {
    return startMicros + preparationMicros[candidate];
  }

  /** True if the candidate is a choice of this rank for one more task. */
  boolean suits(int index, ChoiceRank rank) {
    PlacementCandidate candidate = candidates.get(index);
    if (!zones.allows(candidate.zone) || candidate.fitsNow(request.resources()) == rank.later) {
      return false;
    }
    long startMicros = candidate.earliestStartMicros(request.resources(), nowMicros);
    if (startMicros == Long.MAX_VALUE || (startMicros > nowMicros) != rank.later) {
      return false;
    }
    double padding = rank.padded ? parameters.padding() : 0;
    long runsAtMicros = startMicros + preparationMicros[index];
    // Capacity that others leave may come later than estimated; on a machine that comes up it does
    // not depend on that.
    if (padding > 0 && rank.later && startMicros > candidate.upMicros()) {
      runsAtMicros += parameters.hedgeMicros();
    }
    return request.isMetBy(runsAtMicros, (long) (runMicros[index] * (1 + padding)));
  }

  /** One task goes to the chosen candidate: now, or booked for later. */
  void commit(Placer.Choice choice) {
    int index = choice.candidate();
    PlacementCandidate candidate = candidates.get(index);
    long endMicros =
        choice.startMicros()
            + preparationMicros[index]
            + (long) (runMicros[index] * (1 + parameters.padding()));
    if (choice.startMicros() <= nowMicros) {
      candidate.start(request.resources(), endMicros);
    } else {
      candidate.book(request.resources(), choice.startMicros(), endMicros);
    }
    zones.add(candidate.zone);
  }
}
