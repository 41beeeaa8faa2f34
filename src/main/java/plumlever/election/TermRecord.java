package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * The last term that was taken, as it is stored: of one shard, or counted for all shards of a pool.
 *
 * @param number 0 where it can't be read
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
