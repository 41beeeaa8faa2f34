package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import plumlever.wire.Json;

/**
 * The stored format of dependency lists (ids of the jobs that a job depends on) that do not fit the
 * active record of their job. A dependency list is split into parts, each in a record of its own.
 * The first part is the anchor: the other parts count as stored only while the anchor exists.
 */
final class DependencyListRecords {
  private static final String UIDS = "names";

  /** The number of hexadecimal digits of the SHA-256 hash in the keys of a dependency list. */
  private static final int DIGEST_LENGTH = 24;

  /** The bytes of JSON that a dependency list part needs in addition to its job ids. */
  private static final int PART_OVERHEAD_BYTES = 32;

  /** The bytes of the JSON around a job id: two quotes and a comma. */
  private static final int UID_OVERHEAD_BYTES = 3;

  private DependencyListRecords() {}

  /** Returns the prefix shared by the keys of all parts of a dependency list. */
  static String prefix(String uid, String digest) {
    return RecordKeys.DEPENDENCIES + uid + "/" + digest + "/";
  }

  /**
   * Given the key of one part of a dependency list, returns the prefix shared by the keys of all
   * parts of that list.
   */
  static String prefixOfPart(String key) {
    return key.substring(0, key.lastIndexOf('/') + 1);
  }

  /**
   * Returns a hash of the job ids in a dependency list and of the maximum value size by which the
   * list is split. Two controllers that split the same list by the same value size therefore write
   * the same records.
   */
  static String digest(List<String> uids, int maxValueBytes) {
    return Hashing.sha256()
        .hashString(maxValueBytes + " " + String.join(" ", uids), StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_LENGTH);
  }

  /**
   * Splits a dependency list into parts, each small enough for one record. Returns the parts by
   * key, beginning with the anchor (first part).
   */
  static Map<String, ObjectNode> parts(String prefix, List<String> uids, int maxValueBytes) {
    Map<String, ObjectNode> parts = new LinkedHashMap<>();
    ArrayNode part = null;
    int bytes = 0;
    for (String uid : uids) {
      int uidBytes = uid.length() + UID_OVERHEAD_BYTES;
      if (part == null || bytes + uidBytes > maxValueBytes) {
        ObjectNode value = Json.object();
        part = value.putArray(UIDS);
        parts.put(prefix + parts.size(), value);
        bytes = PART_OVERHEAD_BYTES;
      }
      part.add(uid);
      bytes += uidBytes;
    }
    return parts;
  }

  /** Returns the job ids that this part of a dependency list contains. */
  static List<String> uids(JsonNode part) {
    List<String> uids = new ArrayList<>();
    part.path(UIDS).forEach(uid -> uids.add(uid.asText()));
    return uids;
  }

  /**
   * Returns the id of the dependency list that this key belongs to; empty if this is not the key of
   * a part of a dependency list.
   */
  static Optional<RecordLayout.DependencyListId> listOf(String key) {
    int uidBegin = RecordKeys.DEPENDENCIES.length();
    int uidEnd = key.indexOf('/', uidBegin);
    if (!key.startsWith(RecordKeys.DEPENDENCIES) || uidEnd < 0 || key.lastIndexOf('/') <= uidEnd) {
      return Optional.empty();
    }
    return Optional.of(
        new RecordLayout.DependencyListId(key.substring(uidBegin, uidEnd), prefixOfPart(key)));
  }
}
