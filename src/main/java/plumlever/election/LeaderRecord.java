package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * The leader's key as it is stored.
 *
 * @param candidate who was elected; labels are empty where they can't be read
 * @param term in which it leads
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
