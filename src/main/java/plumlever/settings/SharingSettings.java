package plumlever.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How the machines of one pool are shared among shards, from the {@code sharing} table of the
 * operators' file. A shard is a group of controllers with a leader, jobs and keys of its own; all
 * shards of a pool use one state service and one cloud.
 *
 * @param maxMachines how many machines the pool has at most
 * @param maxTransfers how many transfers one shard may have open at a time
 * @param adoptAfterMicros a shard that has had no leader for so long loses its machines to the
 *     others
 * @param ownShard the shard of this controller
 * @param digest a hash, which is the same for controllers with the same table
 */
public record SharingSettings(
    int maxMachines,
    int maxTransfers,
    long adoptAfterMicros,
    List<Shard> shards,
    Shard ownShard,
    String digest) {

  /**
   * One shard.
   *
   * @param prefix of its keys in the state service
   * @param controllers the labels of its controllers
   * @param minMachines how many machines it always keeps
   * @param weight its part of the machines beyond what the shards always keep, against the others'
   *     weights
   */
  public record Shard(
      String name, String prefix, Set<String> controllers, int minMachines, double weight) {}

  /** How many changes a transaction of the state service must allow for a transfer. */
  public static final int MIN_TRANSACTION_OPS = 5;

  /** The shard of that name. */
  public Shard shard(String name) {
    return shards.stream().filter(shard -> shard.name().equals(name)).findFirst().orElseThrow();
  }

  /** All shards but this controller's. */
  public List<Shard> otherShards() {
    return shards.stream().filter(shard -> !shard.name().equals(ownShard.name())).toList();
  }

  /**
   * Reads the table and checks it against the controllers of the deployment.
   *
   * @param file to name in errors
   */
  static SharingSettings read(String file, Map<?, ?> table, PlatformConfiguration platform)
      throws SettingsException {
    return new SharingTable(file, platform).read(table);
  }
}
