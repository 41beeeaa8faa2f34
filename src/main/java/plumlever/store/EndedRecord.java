package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import plumlever.wire.JobState;
import plumlever.wire.Json;

/** How a job ended, as it is stored. */
final class EndedRecord {
  private static final String STATE = "s";
  private static final String ENDED_MS = "at_ms";

  private EndedRecord() {}

  /**
   * The record of an end.
   *
   * @param wallMicros when it is stored
   */
  static ObjectNode write(JobState finalState, long wallMicros) {
    return Json.object().put(STATE, finalState.wireName()).put(ENDED_MS, wallMicros / 1_000);
  }

  /** How the job ended; nothing when that can't be read. */
  static Optional<JobState> finalState(JsonNode endedRecord) {
    String name = endedRecord.path(STATE).asText();
    for (JobState state : JobState.values()) {
      if (state.isFinal() && state.wireName().equals(name)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }

  /**
   * When it ended, by the clock of the controller that stored it; 0 where an earlier version did.
   */
  static long endedWallMicros(JsonNode endedRecord) {
    return endedRecord.path(ENDED_MS).asLong(0) * 1_000;
  }
}
