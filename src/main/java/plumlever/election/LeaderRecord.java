package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * The stored value of the leader key.
 *
 * @param candidate the elected candidate; a field that is missing or unreadable is empty
 * @param term the term of the leader
 */
record LeaderRecord(Candidate candidate, long term) {
  private static final String LABEL = "label";
  private static final String NONCE = "nonce";
  private static final String TERM = "term";

  static LeaderRecord read(JsonNode stored) {
    return new LeaderRecord(
        new Candidate(stored.path(LABEL).asText(), stored.path(NONCE).asText()),
        stored.path(TERM).asLong());
  }

  ObjectNode write() {
    return Json.object()
        .put(LABEL, candidate.label())
        .put(NONCE, candidate.nonce())
        .put(TERM, term);
  }
}
