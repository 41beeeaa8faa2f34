package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * The stored record of the last term: in the term key, the last term of a shard; in the term
 * counter of a pool, the last term of any of its shards.
 *
 * @param number the number of the term; 0 if unreadable
 */
record TermRecord(long number) {
  private static final String TERM = "term";

  static TermRecord read(JsonNode stored) {
    return new TermRecord(stored.path(TERM).asLong());
  }

  ObjectNode write() {
    return Json.object().put(TERM, number);
  }
}
