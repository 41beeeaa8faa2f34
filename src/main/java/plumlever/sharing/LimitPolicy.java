package plumlever.sharing;

import java.util.Map;
import java.util.Optional;

/** How much of its part of a team's limit a shard gives to which other. */
public final class LimitPolicy {
  /** So many processors of the part are to go to that shard. */
  public record Gift(String to, double cores) {}

  private LimitPolicy() {}

  /**
   * What a shard gives now: to the one that lacks most, by name where they lack the same.
   *
   * @param spare processors of its part that nothing of its own uses or waits for
   * @param wantedByShard what the other shards lack
   */
  public static Optional<Gift> gift(double spare, Map<String, Double> wantedByShard) {
    Gift best = null;
    for (Map.Entry<String, Double> entry : wantedByShard.entrySet()) {
      double cores = Math.floor(Math.min(spare, Math.ceil(entry.getValue())));
      boolean more =
          best == null
              || cores > best.cores()
              || (cores == best.cores() && entry.getKey().compareTo(best.to()) < 0);
      if (cores >= 1 && more) {
        best = new Gift(entry.getKey(), cores);
      }
    }
    return Optional.ofNullable(best);
  }
}
