package plumlever.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides how many machines are transferred between which shards. A shard with a shortage first
 * receives idle machines of other shards. If these are not enough and the shard owns less than its
 * share (its floor, plus its fraction by weight of the machines beyond all floors), shards above
 * their share also transfer machines in use, together with the running tasks. No shard transfers
 * machines if it would then own fewer than its floor (the number that it keeps in any case), or
 * machines in use if it would then own less than its share.
 *
 * <p>The decision is deterministic: all shards compute the same plan from the same input.
 */
public final class SharePolicy {
  /**
   * The state of one shard as input of the policy.
   *
   * @param floor number of machines that the shard keeps in any case
   * @param weight weight for the share of the machines above all floors
   * @param machines number of machines that the shard owns
   * @param idle number of these machines that are idle and can be transferred
   * @param wanted number of machines that the shard is short of
   */
  public record ShardState(
      String name, int floor, double weight, int machines, int idle, int wanted) {}

  /** A number of machines that one shard is to transfer to another. */
  public record PlannedTransfer(String from, String to, int machines) {}

  /**
   * A shard transfers machines in use only while it exceeds its share by more than this fraction of
   * the share.
   */
  private static final double HYSTERESIS = 0.1;

  private SharePolicy() {}

  /**
   * Returns the shard's share: its floor, plus its fraction by weight of the pool's machines beyond
   * the sum of all floors.
   */
  static double shareOf(ShardState shard, List<ShardState> shards) {
    int all = shards.stream().mapToInt(ShardState::machines).sum();
    int floors = shards.stream().mapToInt(ShardState::floor).sum();
    double weights = shards.stream().mapToDouble(ShardState::weight).sum();
    return shard.floor() + Math.max(0, all - floors) * shard.weight() / weights;
  }

  /** The machine counts of one shard after the transfers that are planned so far. */
  private static final class ShardBalance {
    private final ShardState shard;
    private final double share;
    private int machines;
    private int idle;
    private int wanted;

    ShardBalance(ShardState shard, List<ShardState> shards) {
      this.shard = shard;
      this.share = shareOf(shard, shards);
      this.machines = shard.machines();
      this.idle = shard.idle();
      this.wanted = shard.wanted();
    }

    double shareDeficit() {
      return share - machines;
    }

    boolean canGiveIdle() {
      return idle > 0 && machines > shard.floor();
    }

    boolean canGiveUsed() {
      return machines - 1 >= Math.max(shard.floor(), share)
          && machines - share > HYSTERESIS * share;
    }
  }

  /**
   * Returns the transfers of machines between shards that should start now.
   *
   * @param maxPerTransfer largest number of machines that one shard transfers to another
   */
  public static List<PlannedTransfer> plan(List<ShardState> shards, int maxPerTransfer) {
    List<ShardBalance> balances = new ArrayList<>();
    shards.stream()
        .sorted(Comparator.comparing(ShardState::name))
        .forEach(shard -> balances.add(new ShardBalance(shard, shards)));
    List<ShardBalance> targets = new ArrayList<>(balances);
    targets.sort(
        Comparator.comparingDouble(ShardBalance::shareDeficit)
            .reversed()
            .thenComparing(target -> target.shard.name()));
    List<PlannedTransfer> transfers = new ArrayList<>();
    for (ShardBalance target : targets) {
      for (ShardBalance source : balances) {
        if (source != target) {
          int count = transferMachines(source, target, maxPerTransfer);
          if (count > 0) {
            transfers.add(new PlannedTransfer(source.shard.name(), target.shard.name(), count));
          }
        }
      }
    }
    return transfers;
  }

  private static int transferMachines(
      ShardBalance source, ShardBalance target, int maxPerTransfer) {
    int count = 0;
    while (count < maxPerTransfer && target.wanted > 0) {
      if (source.canGiveIdle()) {
        source.idle--;
      } else if (!(target.machines < target.share && source.canGiveUsed())) {
        break;
      }
      source.machines--;
      target.machines++;
      target.wanted--;
      count++;
    }
    return count;
  }
}
