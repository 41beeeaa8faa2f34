package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import plumlever.wire.InvalidMessageException;

/**
 * An in-memory view of the pool's records, as of the last applied change. Changes may be applied
 * repeatedly and out of order: the view keeps the newest revision of each key.
 */
public final class PoolView {
  /** Key prefix of all records of the pool. */
  public static final String PREFIX = "/pool/";

  /** Key of the pool's counter, which numbers the terms of all shards and the transfers. */
  public static final String COUNTER = PREFIX + "term";

  private static final String LEADERS = PREFIX + "leaders/";
  private static final String NUMBER = "term";

  /** A record and its revision in the state service. */
  public record Versioned<T>(T value, long revision) {}

  /**
   * Maximum number of deleted keys whose revisions are kept; far more than the keys that are
   * deleted while a transaction is in flight.
   */
  private static final int MAX_DELETED_KEYS = 2_000;

  private final Map<String, Long> revisions = new HashMap<>();

  /**
   * The revision of each key's deletion, so that an older put that arrives after the deletion does
   * not restore the record.
   */
  private final Map<String, Long> deletedRevisions = new HashMap<>();

  private final Map<String, OwnerRecord> owners = new HashMap<>();
  private final Map<String, Versioned<TransferRecord>> transfers = new TreeMap<>();
  private final Map<String, String> leaders = new HashMap<>();
  private final Map<String, ShardDemand> demands = new TreeMap<>();
  private final Map<String, LimitParts> limits = new TreeMap<>();
  private long counter;

  /** Returns the key of the shard's leader record, which is bound to the leader's lease. */
  public static String leaderKey(String shard) {
    return LEADERS + shard;
  }

  /**
   * Applies a change of a pool record: {@code data} is the stored value of the key, or null if the
   * key was deleted. Ignores the change if the same or a newer revision of the key is known.
   */
  public void apply(String key, JsonNode data, long revision) throws InvalidMessageException {
    if (revision <= revisions.getOrDefault(key, 0L)) {
      return;
    }
    revisions.put(key, revision);
    if (OwnerRecord.isKey(key)) {
      set(owners, key, data == null ? null : OwnerRecord.parse(data));
    } else if (TransferRecord.isKey(key)) {
      String machine = TransferRecord.machineOf(key);
      set(
          transfers,
          machine,
          data == null ? null : new Versioned<>(TransferRecord.parse(machine, data), revision));
    } else if (key.startsWith(LEADERS)) {
      set(
          leaders,
          key.substring(LEADERS.length()),
          data == null ? null : data.path("label").asText());
    } else if (ShardDemand.isKey(key)) {
      set(demands, ShardDemand.shardOf(key), data == null ? null : ShardDemand.parse(data));
    } else if (LimitParts.isKey(key)) {
      set(limits, LimitParts.teamOf(key), data == null ? null : LimitParts.parse(data));
    } else if (key.equals(COUNTER) && data != null) {
      counter = data.path(NUMBER).asLong();
    }
    if (data != null) {
      deletedRevisions.remove(key);
      return;
    }
    deletedRevisions.put(key, revision);
    if (deletedRevisions.size() > MAX_DELETED_KEYS) {
      revisions.keySet().removeAll(deletedRevisions.keySet());
      deletedRevisions.clear();
    }
  }

  private static <T> void set(Map<String, T> map, String key, T value) {
    if (value == null) {
      map.remove(key);
    } else {
      map.put(key, value);
    }
  }

  /**
   * Removes the record from the view after a read found no record under the key.
   *
   * @param revisionBefore known revision of the key when the read was sent; a record with a later
   *     revision is kept
   */
  public void markAbsent(String key, long revisionBefore) throws InvalidMessageException {
    if (revisionBefore != 0 && revisionOf(key) == revisionBefore) {
      apply(key, null, revisionBefore + 1);
    }
  }

  /**
   * Removes from the view all records whose keys are missing in a full listing of the pool's
   * records, unless they are newer than the listing.
   *
   * @param storeRevision store revision of the listing
   */
  public void retain(Collection<String> keys, long storeRevision) throws InvalidMessageException {
    for (String key : List.copyOf(revisions.keySet())) {
      if (!keys.contains(key) && !deletedRevisions.containsKey(key)) {
        apply(key, null, storeRevision);
      }
    }
  }

  /**
   * Returns the last known revision of the record under the key, for use in a precondition; 0 if
   * there is no record.
   */
  public long revisionOf(String key) {
    return deletedRevisions.containsKey(key) ? 0 : revisions.getOrDefault(key, 0L);
  }

  /**
   * Returns the holder of the machine: the owning shard, or the name that a shard records in place
   * of its own when it retires the machine. Empty if no owner record lists the machine.
   */
  public Optional<String> holder(String machine) {
    return owners(machine).holder(machine);
  }

  /** Returns the owner record whose range of machine numbers includes the machine. */
  public OwnerRecord owners(String machine) {
    return owners.getOrDefault(OwnerRecord.keyOf(machine), OwnerRecord.EMPTY);
  }

  /**
   * Returns the number of machines whose holder (owning shard, or name for retired machines) is the
   * given one, over all owner records.
   */
  public int count(String holder) {
    return owners.values().stream().mapToInt(owned -> owned.count(holder)).sum();
  }

  /** Returns the machine's transfer record and its revision; empty if the machine has none. */
  public Optional<Versioned<TransferRecord>> transfer(String machine) {
    return Optional.ofNullable(transfers.get(machine));
  }

  /** Returns the transfer records of all machines that have one, by machine. */
  public Map<String, Versioned<TransferRecord>> transfers() {
    return Collections.unmodifiableMap(transfers);
  }

  /**
   * Returns the label (configured name) of the controller that leads the shard; empty if no leader
   * is known.
   */
  public Optional<String> leader(String shard) {
    return Optional.ofNullable(leaders.get(shard));
  }

  /**
   * Returns the demand for machines and cores that the shard last published; empty if it has
   * published none.
   */
  public Optional<ShardDemand> demand(String shard) {
    return Optional.ofNullable(demands.get(shard));
  }

  /** Returns the shards' parts of the team's limit; empty if the limit has not been split. */
  public Optional<LimitParts> limit(String team) {
    return Optional.ofNullable(limits.get(team));
  }

  /**
   * Returns the last known value of the pool's counter, from which terms of leaders and transfers
   * of machines get their numbers.
   */
  public long counter() {
    return counter;
  }
}
