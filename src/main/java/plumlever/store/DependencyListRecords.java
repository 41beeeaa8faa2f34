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
 * Lists of the jobs that a job depends on, where they do not fit its record: each is cut up into
 * parts, the first of which is its anchor.
 */
final class DependencyListRecords {
  private static final String UIDS = "names";
  private static final int DIGEST_LETTERS = 24;

  /** What the JSON round a part takes. */
  private static final int PART_BASE_BYTES = 32;

  /** What the JSON round a job's id takes: quotes and a comma. */
  private static final int UID_BASE_BYTES = 3;

  private DependencyListRecords() {}

  /** The prefix of the keys of a list's parts. */
  static String prefix(String uid, String digest) {
    return RecordKeys.DEPENDENCIES + uid + "/" + digest + "/";
  }

  /** The prefix of the list that a part belongs to. */
  static String prefixOfPart(String key) {
    return key.substring(0, key.lastIndexOf('/') + 1);
  }

  /**
   * Names a list by what it holds and how it is cut up: whoever stores the same list the same way
   * stores the same values.
   */
  static String digest(List<String> uids, int maxValueBytes) {
    return Hashing.sha256()
        .hashString(maxValueBytes + " " + String.join(" ", uids), StandardCharsets.UTF_8)
        .toString()
        .substring(0, DIGEST_LETTERS);
  }

  /** The parts of a list by key, the anchor first. */
  static Map<String, ObjectNode> parts(String prefix, List<String> uids, int maxValueBytes) {
    Map<String, ObjectNode> parts = new LinkedHashMap<>();
    ArrayNode part = null;
    int bytes = 0;
    for (String uid : uids) {
      int uidBytes = uid.length() + UID_BASE_BYTES;
      if (part == null || bytes + uidBytes > maxValueBytes) {
        ObjectNode value = Json.object();
        part = value.putArray(UIDS);
        parts.put(prefix + parts.size(), value);
        bytes = PART_BASE_BYTES;
      }
      part.add(uid);
      bytes += uidBytes;
    }
    return parts;
  }

  /** The jobs that a part names. */
  static List<String> uids(JsonNode part) {
    List<String> uids = new ArrayList<>();
    part.path(UIDS).forEach(uid -> uids.add(uid.asText()));
    return uids;
  }

  /** Which list a key belongs to; nothing for a key that is no part of one. */
  static Optional<JobStore.DependencyListId> listOf(String key) {
    int uidBegin = RecordKeys.DEPENDENCIES.length();
    int uidEnd = key.indexOf('/', uidBegin);
    if (!key.startsWith(RecordKeys.DEPENDENCIES) || uidEnd < 0 || key.lastIndexOf('/') <= uidEnd) {
      return Optional.empty();
    }
    return Optional.of(
        new JobStore.DependencyListId(key.substring(uidBegin, uidEnd), prefixOfPart(key)));
  }
}
