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
 * What the records of the pool say together, as of the last change applied. Changes may come more
 * than once and out of order: the newer revision of each key stays.
 */
public final class PoolView {
  /** All records of the pool are under it. */
  public static final String PREFIX = "/pool/";

  /** The pool's counter of terms and transfers. */
  public static final String COUNTER = PREFIX + "term";

  private static final String LEADERS = PREFIX + "leaders/";
  private static final String NUMBER = "term";

  /** A record with its revision. */
  public record Versioned<T>(T value, long revision) {}

  /** Dropped keys remembered, far more than change while one transaction is under way. */
  private static final int MOST_DROPPED = 2_000;

  private final Map<String, Long> revisions = new HashMap<>();

  /** Revisions of drops: an older put of the key that comes later must not bring it back. */
  private final Map<String, Long> dropped = new HashMap<>();

  private final Map<String, OwnerRecord> owners = new HashMap<>();
  private final Map<String, Versioned<TransferRecord>> transfers = new TreeMap<>();
  private final Map<String, String> leaders = new HashMap<>();
  private final Map<String, ShardDemand> demands = new TreeMap<>();
  private final Map<String, LimitParts> limits = new TreeMap<>();
  private long counter;

  /** The key that tells who leads the shard; it hangs on the leader's lease. */
  public static String leaderKey(String shard) {
    return LEADERS + shard;
  }

  /** A record is stored, or was dropped if {@code data} is null. */
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
      dropped.remove(key);
      return;
    }
    dropped.put(key, revision);
    if (dropped.size() > MOST_DROPPED) {
      revisions.keySet().removeAll(dropped.keySet());
      dropped.clear();
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
   * A read has shown that there is no such record.
   *
   * @param revisionBefore what was known when the read was sent: a record stored since stays
   */
  public void absent(String key, long revisionBefore) throws InvalidMessageException {
    if (revisionBefore != 0 && revisionOf(key) == revisionBefore) {
      apply(key, null, revisionBefore + 1);
    }
  }

  /** Everything was read anew: what is not among these keys is gone. */
  public void retain(Collection<String> keys, long storeRevision) throws InvalidMessageException {
    for (String key : List.copyOf(revisions.keySet())) {
      if (!keys.contains(key) && !dropped.containsKey(key)) {
        apply(key, null, storeRevision);
      }
    }
  }

  /** The revision of a key to precondition a transaction with; 0 while there is none. */
  public long revisionOf(String key) {
    return dropped.containsKey(key) ? 0 : revisions.getOrDefault(key, 0L);
  }

  /** Who owns the machine. */
  public Optional<String> holder(String machine) {
    return owners(machine).holder(machine);
  }

  /** The record that tells who owns the machine. */
  public OwnerRecord owners(String machine) {
    return owners.getOrDefault(OwnerRecord.keyOf(machine), OwnerRecord.EMPTY);
  }

  /** How many machines the holder owns. */
  public int count(String holder) {
    return owners.values().stream().mapToInt(owned -> owned.count(holder)).sum();
  }

  /** Where the machine's transfer stands. */
  public Optional<Versioned<TransferRecord>> transfer(String machine) {
    return Optional.ofNullable(transfers.get(machine));
  }

  /** All machines with a transfer that is not settled. */
  public Map<String, Versioned<TransferRecord>> transfers() {
    return Collections.unmodifiableMap(transfers);
  }

  /** Label of the shard's leader, if it has one. */
  public Optional<String> leader(String shard) {
    return Optional.ofNullable(leaders.get(shard));
  }

  /** What the shard last told of its share. */
  public Optional<ShardDemand> demand(String shard) {
    return Optional.ofNullable(demands.get(shard));
  }

  /** The parts of the team's limit, once they have been cut up. */
  public Optional<LimitParts> limit(String team) {
    return Optional.ofNullable(limits.get(team));
  }

  /** The last number given out. */
  public long counter() {
    return counter;
  }
}
