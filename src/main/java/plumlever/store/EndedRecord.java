package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import plumlever.wire.JobState;
import plumlever.wire.Json;

/** The stored record of the final state of a job. */
final class EndedRecord {
  private static final String STATE = "s";
  private static final String ENDED_MS = "at_ms";

  private EndedRecord() {}

  /**
   * Builds the ended record, which stores the final state of a job.
   *
   * @param wallMicros the wall clock time at which the final state is stored
   */
  static ObjectNode write(JobState finalState, long wallMicros) {
    return Json.object().put(STATE, finalState.wireName()).put(ENDED_MS, wallMicros / 1_000);
  }

  /** Returns the final state of the job; empty if the record is unreadable. */
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
   * Returns the time at which the job ended, by the wall clock of the controller that stored the
   * record; 0 if an earlier version, which did not store the time, wrote the record.
   */
  static long endedWallMicros(JsonNode endedRecord) {
    return endedRecord.path(ENDED_MS).asLong(0) * 1_000;
  }
}
