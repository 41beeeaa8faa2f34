package plumlever.sharing;

import java.util.Map;
import java.util.Optional;

/** Decides how many cores of its part of a team's limit a shard moves to which other shard. */
public final class LimitPolicy {
  /** A number of cores to move from a shard's part of a team's limit to another shard's part. */
  public record CoreMove(String to, double cores) {}

  private LimitPolicy() {}

  /**
   * Returns the move of cores to the shard that can receive the most; empty if no whole core can be
   * moved. Ties are broken by shard name.
   *
   * @param spare cores of the shard's part that its running and pending tasks do not need
   * @param wantedByShard cores that the other shards need beyond their parts
   */
  public static Optional<CoreMove> plan(double spare, Map<String, Double> wantedByShard) {
    CoreMove best = null;
    for (Map.Entry<String, Double> entry : wantedByShard.entrySet()) {
      double cores = Math.floor(Math.min(spare, Math.ceil(entry.getValue())));
      boolean more =
          best == null
              || cores > best.cores()
              || (cores == best.cores() && entry.getKey().compareTo(best.to()) < 0);
      if (cores >= 1 && more) {
        best = new CoreMove(entry.getKey(), cores);
      }
    }
    return Optional.ofNullable(best);
  }
}
