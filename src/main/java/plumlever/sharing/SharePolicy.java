package plumlever.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How many machines move from which shard to which. A shard that lacks machines is first given what
 * others can do without; where that is not enough, and it has less than its share by weight, those
 * above their share give further ones with their tasks running. Nobody goes below its floor, and
 * nobody gives what it lacks itself below its share.
 *
 * <p>The same input gives the same decision, whoever works it out.
 */
public final class SharePolicy {
  /**
   * A shard as the policy sees it.
   *
   * @param machines that it owns
   * @param idle of these, machines that it can do without
   * @param wanted machines that it lacks
   */
  public record ShardState(
      String name, int floor, double weight, int machines, int idle, int wanted) {}

  /** So many machines are to go from one shard to another. */
  public record Move(String from, String to, int machines) {}

  /** Part of its share by which a shard must be above it before it gives machines in use. */
  private static final double HYSTERESIS = 0.1;

  private SharePolicy() {}

  /** Machines of the pool that the shard's floor and weight entitle it to. */
  static double shareOf(ShardState shard, List<ShardState> shards) {
    int all = shards.stream().mapToInt(ShardState::machines).sum();
    int floors = shards.stream().mapToInt(ShardState::floor).sum();
    double weights = shards.stream().mapToDouble(ShardState::weight).sum();
    return shard.floor() + Math.max(0, all - floors) * shard.weight() / weights;
  }

  /** A shard with what the decisions so far leave it. */
  private static final class Open {
    private final ShardState shard;
    private final double share;
    private int machines;
    private int idle;
    private int wanted;

    Open(ShardState shard, List<ShardState> shards) {
      this.shard = shard;
      this.share = shareOf(shard, shards);
      this.machines = shard.machines();
      this.idle = shard.idle();
      this.wanted = shard.wanted();
    }

    double shortOfShare() {
      return share - machines;
    }

    boolean mayGiveIdle() {
      return idle > 0 && machines > shard.floor();
    }

    boolean mayGiveUsed() {
      return machines - 1 >= Math.max(shard.floor(), share)
          && machines - share > HYSTERESIS * share;
    }
  }

  /**
   * The moves that are due now.
   *
   * @param most machines that one shard gives at a time
   */
  public static List<Move> plan(List<ShardState> shards, int most) {
    List<Open> open = new ArrayList<>();
    shards.stream()
        .sorted(Comparator.comparing(ShardState::name))
        .forEach(shard -> open.add(new Open(shard, shards)));
    List<Open> takers = new ArrayList<>(open);
    takers.sort(
        Comparator.comparingDouble(Open::shortOfShare)
            .reversed()
            .thenComparing(taker -> taker.shard.name()));
    List<Move> moves = new ArrayList<>();
    for (Open taker : takers) {
      for (Open giver : open) {
        if (giver != taker) {
          int count = give(giver, taker, most);
          if (count > 0) {
            moves.add(new Move(giver.shard.name(), taker.shard.name(), count));
          }
        }
      }
    }
    return moves;
  }

  private static int give(Open giver, Open taker, int most) {
    int count = 0;
    while (count < most && taker.wanted > 0) {
      if (giver.mayGiveIdle()) {
        giver.idle--;
      } else if (!(taker.machines < taker.share && giver.mayGiveUsed())) {
        break;
      }
      giver.machines--;
      taker.machines++;
      taker.wanted--;
      count++;
    }
    return count;
  }
}
