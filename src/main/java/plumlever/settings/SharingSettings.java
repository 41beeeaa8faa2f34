package plumlever.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How the machines of a pool are shared among shards, from the {@code sharing} table of the
 * operators' settings file. A shard is a group of controllers with its own leader, jobs and keys;
 * all shards of a pool use the same state service and the same cloud.
 *
 * @param maxMachines the maximum number of machines in the pool
 * @param maxTransfers the maximum number of open transfers of one shard
 * @param adoptionDelayMicros the other shards take over the machines of a shard that has had no
 *     leader for this long
 * @param ownShard the shard of this controller
 * @param digest a hash of the table, with which controllers detect that their tables differ
 */
public record SharingSettings(
    int maxMachines,
    int maxTransfers,
    long adoptionDelayMicros,
    List<Shard> shards,
    Shard ownShard,
    String digest) {

  /**
   * A shard of the pool.
   *
   * @param prefix the prefix of the shard's keys in the state service
   * @param controllers the labels of the shard's controllers
   * @param minMachines the number of machines that the shard always keeps
   * @param weight the shard's relative share of the machines beyond the sum of all shards' {@code
   *     minMachines}
   */
  public record Shard(
      String name, String prefix, Set<String> controllers, int minMachines, double weight) {}

  /**
   * The state service must allow at least this many operations per transaction, because the
   * transaction that moves a machine between shards needs them.
   */
  public static final int MIN_TRANSACTION_OPS = 5;

  /** Returns the shard with this name. */
  public Shard shard(String name) {
    return shards.stream().filter(shard -> shard.name().equals(name)).findFirst().orElseThrow();
  }

  /** Returns all shards except the shard of this controller. */
  public List<Shard> otherShards() {
    return shards.stream().filter(shard -> !shard.name().equals(ownShard.name())).toList();
  }

  /**
   * Reads the {@code sharing} table of the operators' settings file and validates it against the
   * controllers of the deployment.
   *
   * @param file the file name for error messages
   */
  static SharingSettings read(String file, Map<?, ?> table, PlatformConfiguration platform)
      throws SettingsException {
    return new SharingTable(file, platform).read(table);
  }
}
