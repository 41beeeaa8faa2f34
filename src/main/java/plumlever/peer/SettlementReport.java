package plumlever.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;

/**
 * A leader's report of the direct start commands that are settled (answered or void), sent in the
 * response to a peer's status. Unlike a status it can be relied on: it answers a request, so it was
 * made after the request, and no clocks are compared. Earlier versions send none and ignore it.
 *
 * @param endedJobsReadAgeMicros time since the leader sent its last answered read of ended jobs
 * @param unsettledMachines ids of the machines that may execute unanswered starts
 */
public record SettlementReport(long endedJobsReadAgeMicros, Set<String> unsettledMachines) {
  private static final String AGE_MICROS = "ended_jobs_read_age_us";
  private static final String UNSETTLED = "unsettled";

  /** Returns the body of the response to a peer's status; without a report an empty object. */
  static String write(Optional<SettlementReport> report) {
    ObjectNode object = Json.object();
    report.ifPresent(
        present -> {
          object.put(AGE_MICROS, present.endedJobsReadAgeMicros);
          ArrayNode machines = object.putArray(UNSETTLED);
          present.unsettledMachines.forEach(machines::add);
        });
    return Json.write(object);
  }

  /** Reads the response to a status; empty if it contains no valid report. */
  static Optional<SettlementReport> read(byte[] body) {
    try {
      ObjectNode object = Json.parseObject(body);
      JsonNode age = object.path(AGE_MICROS);
      JsonNode machines = object.path(UNSETTLED);
      if (!age.canConvertToLong() || age.asLong() < 0 || !machines.isArray()) {
        return Optional.empty();
      }
      Set<String> unsettled = new HashSet<>();
      machines.forEach(machine -> unsettled.add(machine.asText()));
      return Optional.of(new SettlementReport(age.asLong(), unsettled));
    } catch (InvalidMessageException e) {
      return Optional.empty();
    }
  }
}
