package plumlever.sharing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * The owners of the machines in one range of machine numbers: a set of numbers for each holder,
 * stored in the portable format of Roaring bitmaps. A holder is the name of the owning shard, or
 * the name under which a shard has retired machines before their return. Immutable.
 */
public final class OwnerRecord {
  /** An owner record without machines. */
  public static final OwnerRecord EMPTY = new OwnerRecord(new TreeMap<>());

  /**
   * Number of machine numbers that one owner record covers. In the worst case the sets take 512
   * bytes, half of the smallest value limit that a state service may have. The other half is left
   * for Base64 and JSON.
   */
  private static final int RANGE = 256;

  private static final String PREFIX = "/pool/owners/";
  private static final String SETS = "sets";

  private final Map<String, RoaringBitmap> sets;

  private OwnerRecord(Map<String, RoaringBitmap> sets) {
    this.sets = sets;
  }

  /** Returns the key of the owner record whose range of machine numbers includes the machine. */
  public static String keyOf(String machine) {
    MachineId id = MachineId.of(machine);
    return PREFIX + id.series() + "/" + id.number() / RANGE;
  }

  /** Returns true for the key of an owner record. */
  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  /** Parses a stored owner record; an unknown format is rejected. */
  public static OwnerRecord parse(JsonNode data) throws InvalidMessageException {
    if (!(data.get(SETS) instanceof ObjectNode stored)) {
      throw new InvalidMessageException("owner record lacks its sets of machines");
    }
    Map<String, RoaringBitmap> sets = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : stored.properties()) {
      RoaringBitmap set = new RoaringBitmap();
      try {
        set.deserialize(ByteBuffer.wrap(Base64.getDecoder().decode(entry.getValue().asText())));
      } catch (IOException | RuntimeException e) {
        // For malformed bytes, deserialize throws various runtime exceptions, such as those of
        // array accesses.
        throw new InvalidMessageException(
            "unreadable set of machines of holder " + entry.getKey() + " in an owner record");
      }
      sets.put(entry.getKey(), set);
    }
    return new OwnerRecord(sets);
  }

  /** Returns the stored form of the owner record. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    ObjectNode stored = object.putObject(SETS);
    sets.forEach(
        (holder, set) -> {
          RoaringBitmap packed = set.clone();
          packed.runOptimize();
          ByteBuffer bytes = ByteBuffer.allocate(packed.serializedSizeInBytes());
          packed.serialize(bytes);
          stored.put(holder, Base64.getEncoder().encodeToString(bytes.array()));
        });
    return object;
  }

  /**
   * Returns the holder of the machine (the owning shard, or the name under which a shard has
   * retired the machine); empty if the machine has no holder.
   */
  public Optional<String> holder(String machine) {
    int number = MachineId.of(machine).number();
    return sets.entrySet().stream()
        .filter(entry -> entry.getValue().contains(number))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns a copy of the owner record in which the given holder is the machine's only holder. */
  public OwnerRecord with(String machine, String holder) {
    Map<String, RoaringBitmap> changed = without(machine).copy();
    changed
        .computeIfAbsent(holder, name -> new RoaringBitmap())
        .add(MachineId.of(machine).number());
    return new OwnerRecord(changed);
  }

  /** Returns a copy of the owner record in which the machine has no holder. */
  public OwnerRecord without(String machine) {
    Map<String, RoaringBitmap> changed = copy();
    changed.values().forEach(set -> set.remove(MachineId.of(machine).number()));
    changed.values().removeIf(RoaringBitmap::isEmpty);
    return new OwnerRecord(changed);
  }

  private Map<String, RoaringBitmap> copy() {
    Map<String, RoaringBitmap> copy = new TreeMap<>();
    sets.forEach((holder, set) -> copy.put(holder, set.clone()));
    return copy;
  }

  /** Returns true if this owner record lists no machine. */
  public boolean isEmpty() {
    return sets.isEmpty();
  }

  /** Returns the number of machines that this owner record lists for the holder. */
  public int count(String holder) {
    RoaringBitmap set = sets.get(holder);
    return set == null ? 0 : set.getCardinality();
  }
}
