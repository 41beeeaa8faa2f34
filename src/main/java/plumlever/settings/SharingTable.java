package plumlever.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.ProviderException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the {@code sharing} table and validates it against the deployment's controllers. */
final class SharingTable {
  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,30}");
  private static final Pattern PREFIX = Pattern.compile("[a-z][a-z0-9-]{0,30}/");

  /**
   * Prefixes that must not be configured as the key prefix of a shard, because records of the pool
   * or of a shard with an empty prefix are stored under them.
   */
  private static final List<String> RESERVED_PREFIXES =
      List.of(
          "pool/",
          "office/",
          "active/",
          "ended/",
          "progress/",
          "fleet/",
          "begun/",
          "hints/",
          "waits/",
          "catalog/");

  private static final String MACHINES = "machines";
  private static final String MAX_TRANSFERS = "most_moving";
  private static final String ADOPT_AFTER_S = "adopt_after_s";
  private static final String SHARDS = "cells";
  private static final Set<String> KEYS = Set.of(MACHINES, MAX_TRANSFERS, ADOPT_AFTER_S, SHARDS);

  private static final String NAME_KEY = "name";
  private static final String CONTROLLERS = "controllers";
  private static final String MIN_MACHINES = "floor";
  private static final String WEIGHT = "weight";
  private static final String PREFIX_KEY = "prefix";
  private static final Set<String> SHARD_KEYS =
      Set.of(NAME_KEY, CONTROLLERS, MIN_MACHINES, WEIGHT, PREFIX_KEY);

  private static final int MACHINES_LIMIT = 1_000_000;
  private static final int TRANSFERS_LIMIT = 1_000;
  private static final double WEIGHT_LIMIT = 1e6;
  private static final int DEFAULT_TRANSFERS = 8;
  private static final double DEFAULT_ADOPT_S = 600;
  private static final double MIN_ADOPT_S = 60;
  private static final double MAX_ADOPT_S = 1e6;

  /** Passed in place of a default value to state that the key is required. */
  private static final double REQUIRED = -1;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final int DIGEST_BYTES = 8;

  private final String file;
  private final PlatformConfiguration platform;

  /** The labels of all controllers of the deployment. */
  private final Set<String> controllers = new HashSet<>();

  /**
   * For each controller label in the shards read so far, the name of its shard. Used to reject a
   * controller that is listed in two shards.
   */
  private final Map<String, String> shardOfController = new LinkedHashMap<>();

  /**
   * @param file the file name for error messages
   */
  SharingTable(String file, PlatformConfiguration platform) {
    this.file = file;
    this.platform = platform;
    controllers.add(platform.label());
    platform.peers().forEach(peer -> controllers.add(peer.label()));
  }

  SharingSettings read(Map<?, ?> table) throws SettingsException {
    rejectUnknownKeys(table, "", KEYS);
    int maxMachines = (int) number(table, "", MACHINES, 1, MACHINES_LIMIT, REQUIRED);
    List<SharingSettings.Shard> shards = shards(table);
    int minMachines = shards.stream().mapToInt(SharingSettings.Shard::minMachines).sum();
    if (minMachines > maxMachines) {
      throw error(
          SHARDS,
          "have floors of " + minMachines + " machines in total; the pool has " + maxMachines);
    }
    if (platform.stateLimits().transactionOps() < SharingSettings.MIN_TRANSACTION_OPS) {
      throw error(
          SHARDS,
          "require at least "
              + SharingSettings.MIN_TRANSACTION_OPS
              + " operations per transaction of the state service (txn_ops)");
    }
    int maxTransfers =
        (int) number(table, "", MAX_TRANSFERS, 1, TRANSFERS_LIMIT, DEFAULT_TRANSFERS);
    double adoptS = number(table, "", ADOPT_AFTER_S, MIN_ADOPT_S, MAX_ADOPT_S, DEFAULT_ADOPT_S);
    return new SharingSettings(
        maxMachines,
        maxTransfers,
        (long) (adoptS * MICROS_PER_SECOND),
        shards,
        ownShard(shards),
        digest(maxMachines, maxTransfers, shards));
  }

  private SharingSettings.Shard ownShard(List<SharingSettings.Shard> shards) {
    return shards.stream()
        .filter(shard -> shard.controllers().contains(platform.label()))
        .findFirst()
        .orElseThrow();
  }

  private List<SharingSettings.Shard> shards(Map<?, ?> table) throws SettingsException {
    if (!(table.get(SHARDS) instanceof List<?> list) || list.isEmpty()) {
      throw error(SHARDS, "must be a list of cells");
    }
    List<SharingSettings.Shard> shards = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      String entryKey = SHARDS + "[" + i + "]";
      if (!(list.get(i) instanceof Map<?, ?> entry)) {
        throw error(entryKey, "must be a table");
      }
      SharingSettings.Shard shard = shard(entry, entryKey + ".");
      if (!names.add(shard.name())) {
        throw error(entryKey + "." + NAME_KEY, "is used twice: " + shard.name());
      }
      checkPrefix(shard, shards, entryKey + "." + PREFIX_KEY);
      shards.add(shard);
    }
    for (String controller : controllers) {
      if (!shardOfController.containsKey(controller)) {
        throw error(SHARDS, "must list every controller; no cell lists " + controller);
      }
    }
    return List.copyOf(shards);
  }

  private SharingSettings.Shard shard(Map<?, ?> entry, String prefix) throws SettingsException {
    rejectUnknownKeys(entry, prefix, SHARD_KEYS);
    if (!(entry.get(NAME_KEY) instanceof String name) || !NAME.matcher(name).matches()) {
      throw error(prefix + NAME_KEY, "must be a name of lower-case letters, digits and hyphens");
    }
    Set<String> labels = labels(entry, name, prefix + CONTROLLERS);
    Object keyPrefix = entry.get(PREFIX_KEY);
    return new SharingSettings.Shard(
        name,
        keyPrefix == null ? name + "/" : String.valueOf(keyPrefix),
        labels,
        (int) number(entry, prefix, MIN_MACHINES, 0, MACHINES_LIMIT, 0),
        weight(entry, prefix + WEIGHT));
  }

  private Set<String> labels(Map<?, ?> entry, String shard, String key) throws SettingsException {
    if (!(entry.get(CONTROLLERS) instanceof List<?> list) || list.isEmpty()) {
      throw error(key, "must be a list of controllers");
    }
    Set<String> labels = new LinkedHashSet<>();
    for (Object element : list) {
      String label = String.valueOf(element);
      if (!controllers.contains(label)) {
        throw error(key, "names " + label + ", which is not in this deployment");
      }
      String earlierShard = shardOfController.putIfAbsent(label, shard);
      if (earlierShard != null) {
        throw error(key, "names " + label + ", which cell " + earlierShard + " already lists");
      }
      labels.add(label);
    }
    return Set.copyOf(labels);
  }

  private double weight(Map<?, ?> entry, String key) throws SettingsException {
    Object weight = entry.get(WEIGHT);
    if (weight == null) {
      return 1;
    }
    if (!(weight instanceof Number number)
        || !(number.doubleValue() > 0 && number.doubleValue() < WEIGHT_LIMIT)) {
      throw error(key, "must be a number above 0 and below 1e6");
    }
    return number.doubleValue();
  }

  private void checkPrefix(
      SharingSettings.Shard shard, List<SharingSettings.Shard> earlierShards, String key)
      throws SettingsException {
    if (!shard.prefix().isEmpty() && !PREFIX.matcher(shard.prefix()).matches()) {
      throw error(key, "must be empty, or lower-case letters, digits and hyphens and a slash");
    }
    if (RESERVED_PREFIXES.contains(shard.prefix())) {
      throw error(key, "is reserved for keys of the service: " + shard.prefix());
    }
    for (SharingSettings.Shard earlier : earlierShards) {
      if (earlier.prefix().equals(shard.prefix())) {
        throw error(key, "is also the prefix of cell " + earlier.name());
      }
    }
  }

  private void rejectUnknownKeys(Map<?, ?> table, String prefix, Set<String> known)
      throws SettingsException {
    for (Object key : table.keySet()) {
      if (!known.contains(String.valueOf(key))) {
        throw error(prefix + key, "is unknown");
      }
    }
  }

  private double number(
      Map<?, ?> table, String prefix, String key, double min, double max, double defaultValue)
      throws SettingsException {
    Object value = table.get(key);
    if (value == null && defaultValue != REQUIRED) {
      return defaultValue;
    }
    if (!(value instanceof Number number)
        || !(number.doubleValue() >= min && number.doubleValue() <= max)) {
      throw error(prefix + key, "must be a number from " + (long) min + " to " + (long) max);
    }
    return number.doubleValue();
  }

  private SettingsException error(String key, String reason) {
    return new SettingsException(file + ": sharing." + key + " " + reason);
  }

  private static String digest(
      int maxMachines, int maxTransfers, List<SharingSettings.Shard> shards) {
    StringBuilder text = new StringBuilder().append(maxMachines).append(' ').append(maxTransfers);
    for (SharingSettings.Shard shard : shards) {
      text.append('\n').append(shard.name()).append(' ').append(shard.prefix());
      text.append(' ').append(shard.minMachines()).append(' ').append(shard.weight());
      shard.controllers().stream().sorted().forEach(label -> text.append(' ').append(label));
    }
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256")
              .digest(text.toString().getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new ProviderException("SHA-256 is missing from the Java platform", e);
    }
  }
}
