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
 * Who owns the machines of one range of numbers: for each holder a set of numbers, stored in the
 * portable format of Roaring bitmaps. Immutable.
 */
public final class OwnerRecord {
  /** A record without any machine. */
  public static final OwnerRecord EMPTY = new OwnerRecord(new TreeMap<>());

  /** Numbers in one range: at worst they take half of the smallest value that may be stored. */
  private static final int RANGE = 256;

  private static final String PREFIX = "/pool/owners/";
  private static final String SETS = "sets";

  private final Map<String, RoaringBitmap> sets;

  private OwnerRecord(Map<String, RoaringBitmap> sets) {
    this.sets = sets;
  }

  /** The key of the record that tells who owns the machine. */
  public static String keyOf(String machine) {
    MachineId id = MachineId.of(machine);
    return PREFIX + id.series() + "/" + id.number() / RANGE;
  }

  /** True for the key of such a record. */
  static boolean isKey(String key) {
    return key.startsWith(PREFIX);
  }

  /** Reads a stored record; whatever it does not know is refused. */
  public static OwnerRecord parse(JsonNode data) throws InvalidMessageException {
    if (!(data.get(SETS) instanceof ObjectNode stored)) {
      throw new InvalidMessageException("no record of owners");
    }
    Map<String, RoaringBitmap> sets = new TreeMap<>();
    for (Map.Entry<String, JsonNode> entry : stored.properties()) {
      RoaringBitmap set = new RoaringBitmap();
      try {
        set.deserialize(ByteBuffer.wrap(Base64.getDecoder().decode(entry.getValue().asText())));
      } catch (IOException | RuntimeException e) {
        // The format's reader tells of broken bytes by whatever its arrays throw.
        throw new InvalidMessageException("the machines of " + entry.getKey() + " can't be read");
      }
      sets.put(entry.getKey(), set);
    }
    return new OwnerRecord(sets);
  }

  /** The record as it is stored. */
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

  /** Who owns the machine; nobody where it is in no set. */
  public Optional<String> holder(String machine) {
    int number = MachineId.of(machine).number();
    return sets.entrySet().stream()
        .filter(entry -> entry.getValue().contains(number))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** The record with the machine owned by that holder and no other. */
  public OwnerRecord with(String machine, String holder) {
    Map<String, RoaringBitmap> changed = without(machine).copy();
    changed
        .computeIfAbsent(holder, name -> new RoaringBitmap())
        .add(MachineId.of(machine).number());
    return new OwnerRecord(changed);
  }

  /** The record with the machine owned by nobody. */
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

  /** True if nobody owns any machine of the range. */
  public boolean isEmpty() {
    return sets.isEmpty();
  }

  /** How many machines of the range the holder owns. */
  public int count(String holder) {
    RoaringBitmap set = sets.get(holder);
    return set == null ? 0 : set.getCardinality();
  }
}
